package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName
import java.util.TreeSet
import kotlin.math.log2
import kotlin.time.Duration

/** A waiting call, ranked by the service that its program had attained when the call was submitted. */
internal class WaitingCall(val call: QueuedCall, attained: Double) {
    /**
     * Logarithmic service level. Calls of one level run in order of arrival, so that similar programs do not alternate.
     */
    val serviceLevel: Int = log2(attained / LEVEL_BASE + 1).toInt()

    private companion object {
        /** Attained service in cost tokens at which level 1 begins. */
        const val LEVEL_BASE = 4_000.0
    }
}

/** Waiting calls of one client account and priority. */
internal class AccountQueue(val account: ScopedName) {
    private val byService = TreeSet(
        compareBy<WaitingCall> { it.serviceLevel }.thenBy { it.call.submittedAt }.thenBy { it.call.id },
    )
    private val byAge = TreeSet(compareBy<WaitingCall> { it.call.submittedAt }.thenBy { it.call.id })

    val size: Int get() = byAge.size

    fun add(waiting: WaitingCall) {
        byService += waiting
        byAge += waiting
    }

    fun remove(waiting: WaitingCall) {
        byService -= waiting
        byAge -= waiting
    }

    /** Calls in dispatch order: those older than [ageBound] by age, then the others by attained service. */
    fun inOrder(now: Duration, ageBound: Duration): Sequence<WaitingCall> {
        val isOverdue = { waiting: WaitingCall -> now - waiting.call.submittedAt > ageBound }
        return byAge.asSequence().takeWhile(isOverdue) + byService.asSequence().filterNot(isOverdue)
    }
}
