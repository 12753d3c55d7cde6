package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName
import java.util.TreeSet
import kotlin.math.log2
import kotlin.time.Duration

/** A waiting call with the service that its program had attained when it was submitted. */
internal class WaitingCall(val call: QueuedCall, attained: Double) {
    /** Programs whose service is of the same order go in order of arrival, so that they do not alternate. */
    val level: Int = log2(attained / LEVEL_BASE + 1).toInt()

    private companion object {
        const val LEVEL_BASE = 4_000.0
    }
}

/** Waiting calls of one account and priority, and the account's virtual token counter. */
internal class AccountQueue(val account: ScopedName) {
    private val byService = TreeSet(
        compareBy<WaitingCall> { it.level }.thenBy { it.call.submittedAt }.thenBy { it.call.id },
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

    /** Calls in the order in which they should run: those above the age bound first, then by attained service. */
    fun inOrder(now: Duration, ageBound: Duration): Sequence<WaitingCall> {
        val isOverdue = { waiting: WaitingCall -> now - waiting.call.submittedAt > ageBound }
        return byAge.asSequence().takeWhile(isOverdue) + byService.asSequence().filterNot(isOverdue)
    }
}
