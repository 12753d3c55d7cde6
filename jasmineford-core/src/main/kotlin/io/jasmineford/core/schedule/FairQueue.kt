package io.jasmineford.core.schedule

import io.jasmineford.core.config.Priority
import io.jasmineford.core.config.ScopedName
import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Weighted fair queue of the waiting calls of one deployment. The account with the lowest attained token cost per
 * weight goes first. The counter of an account that was idle is raised to the lowest counter of the waiting accounts,
 * so that it builds up no credit while idle (Virtual Token Counter, Sheng et al., 2024).
 */
internal class FairQueue(
    private val settings: ScheduleSettings,
    private val weightOf: (ScopedName) -> Double,
) {
    private val queues = Priority.entries.associateWith { HashMap<ScopedName, AccountQueue>() }
    private val counters = HashMap<ScopedName, Double>()
    private val waiting = HashMap<Long, WaitingCall>()
    private var lookupsInRow = 0
    private var lastCounter = 0.0

    val size: Int get() = waiting.size

    fun calls(): Collection<QueuedCall> = waiting.values.map { it.call }

    fun add(call: QueuedCall, attained: Double) {
        raiseCounter(call.account)
        val entry = WaitingCall(call, attained)
        waiting[call.id] = entry
        queues.getValue(call.priority).getOrPut(call.account) { AccountQueue(call.account) }.add(entry)
    }

    fun remove(id: Long): QueuedCall? {
        val entry = waiting.remove(id) ?: return null
        val byAccount = queues.getValue(entry.call.priority)
        val queue = byAccount.getValue(entry.call.account)
        queue.remove(entry)
        if (queue.size == 0) byAccount.remove(entry.call.account)
        lastCounter = counterOf(entry.call.account)
        return entry.call
    }

    /** Records that [call] was dispatched, to limit lookups in a row while drafts wait. */
    fun recordDispatch(call: QueuedCall) {
        val isDraftWaiting = queues.getValue(Priority.DRAFT).isNotEmpty()
        lookupsInRow = if (call.priority == Priority.LOOKUP && isDraftWaiting) lookupsInRow + 1 else 0
    }

    /** Adds [cost] to the account's counter; a negative cost corrects an estimate. */
    fun charge(account: ScopedName, cost: Double) {
        counters[account] = counterOf(account) + cost / weightOf(account)
    }

    /** Calls in dispatch order. */
    fun inOrder(now: Duration): Sequence<QueuedCall> {
        val isDraftDue = lookupsInRow >= settings.lookupsPerDraft
        val order = if (isDraftDue) Priority.entries.reversed() else Priority.entries
        return order.asSequence().flatMap { inOrder(queues.getValue(it), now) }.map { it.call }
    }

    private fun inOrder(byAccount: Map<ScopedName, AccountQueue>, now: Duration): Sequence<WaitingCall> {
        if (byAccount.isEmpty()) return emptySequence()
        // A heap finds the first account cheaply; the others are ordered only if the scan reaches them.
        val order = compareBy<AccountQueue> { counterOf(it.account) }.thenBy { "${it.account}" }
        val heap = PriorityQueue(byAccount.size, order)
        heap.addAll(byAccount.values)
        return generateSequence { heap.poll() }.flatMap { it.inOrder(now, settings.ageBound) }
    }

    private fun raiseCounter(account: ScopedName) {
        val waitingAccounts = queues.values.flatMap { it.keys }
        if (account in waitingAccounts) return
        val least = waitingAccounts.minOfOrNull { counterOf(it) } ?: lastCounter
        counters[account] = maxOf(counterOf(account), least)
    }

    private fun counterOf(account: ScopedName) = counters[account] ?: 0.0
}
