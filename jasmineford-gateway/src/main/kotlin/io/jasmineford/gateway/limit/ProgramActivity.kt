package io.jasmineford.gateway.limit

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Admission class of a program's call, which decides who is refused first when an account nears its rate limit. */
enum class AdmissionClass {
    /** The program is in progress: refusing its calls would waste the ones it has made. */
    UNDER_WAY,

    /** This is the program's first call. */
    NEW,

    /** The program has made far more calls than usual, or its token budget is spent. */
    EXCESSIVE,
}

/** Counts calls by program, from this daemon and from the reports of the other ones. */
class ProgramActivity(private val clock: MonotonicClock) {
    private class Count(var own: Int = 0, var isBudgetSpent: Boolean = false, var at: Duration) {
        val atPeers = HashMap<String, Int>()
        val total: Int get() = own + atPeers.values.sum()
    }

    private class Change(val number: Long, val program: String, val at: Duration)

    private val counts = HashMap<String, Count>()
    private val changes = ArrayDeque<Change>()
    private var changeCount = 0L
    private var takenUpTo = 0L
    private var sweptAt = clock.now()

    /** Number of the latest change, for [changesSince]. */
    val latestChange: Long get() = changeCount

    /** Counts a call of [program] and returns its admission class. */
    fun recordCall(program: String): AdmissionClass {
        val admissionClass = admissionClass(program)
        val count = countOf(program)
        val before = count.total
        count.own++
        recordChange(program, before, count.total)
        return admissionClass
    }

    /** Admission class that a call of [program] would get now, without counting it. */
    fun admissionClass(program: String): AdmissionClass {
        val count = counts[program]
        return when {
            count == null || (count.total == 0 && !count.isBudgetSpent) -> AdmissionClass.NEW
            count.isBudgetSpent || count.total > MAX_USUAL_CALLS -> AdmissionClass.EXCESSIVE
            else -> AdmissionClass.UNDER_WAY
        }
    }

    /** Records that a turn of [program] was refused because its token budget is spent. */
    fun recordBudgetSpent(program: String) {
        countOf(program).isBudgetSpent = true
    }

    /** Applies the counts that daemon [from] reports. */
    fun applyPeerCounts(from: String, reported: Map<String, Int>) = reported.forEach { (program, calls) ->
        val count = countOf(program)
        val before = count.total
        count.atPeers[from] = calls
        recordChange(program, before, count.total)
    }

    /** Returns this daemon's counts that have changed since the last call of this function. */
    fun takeChanges(): Map<String, Int> = changesSince(takenUpTo) { false }.also { takenUpTo = changeCount }

    /** Calls at this daemon and those that [sources] report, of the programs changed after change [number]. */
    fun changesSince(number: Long, sources: (String) -> Boolean): Map<String, Int> {
        sweep()
        return changes.takeLastWhile { it.number > number }.map { it.program }.distinct()
            .associateWith { callsBehind(it, sources) }.filterValues { it > 0 }
    }

    private fun callsBehind(program: String, sources: (String) -> Boolean): Int {
        val count = counts[program] ?: return 0
        return count.own + count.atPeers.entries.sumOf { if (sources(it.key)) it.value else 0 }
    }

    /** Only the first call of a program and every [REPORTED_STEP]th one are told to the other daemons. */
    private fun recordChange(program: String, before: Int, after: Int) {
        val isReported = before == 0 || before / REPORTED_STEP != after / REPORTED_STEP
        if (isReported && after > before) changes.addLast(Change(++changeCount, program, clock.now()))
    }

    private fun countOf(program: String): Count {
        val count = counts.getOrPut(program) { Count(at = clock.now()) }
        count.at = clock.now()
        return count
    }

    private fun sweep() {
        if (clock.now() - sweptAt < SWEEP_PERIOD) return
        sweptAt = clock.now()
        counts.values.removeIf { clock.now() - it.at > RETENTION }
        while (changes.isNotEmpty() && clock.now() - changes.first().at > CHANGE_RETENTION) changes.removeFirst()
    }

    private companion object {
        /** Calls of a program with twice the usual number of turns, including tool calls; more are excessive. */
        const val MAX_USUAL_CALLS = 64

        /** Idle time after which a program is forgotten; programs in progress pause for less. */
        val RETENTION = 60.seconds
        val SWEEP_PERIOD = 5.seconds

        /** Calls after which a program's count is reported again: few messages, and the classes need no exact count. */
        const val REPORTED_STEP = 4

        /** Longer than any time between two heartbeats to one daemon. */
        val CHANGE_RETENTION = 10.seconds
    }
}
