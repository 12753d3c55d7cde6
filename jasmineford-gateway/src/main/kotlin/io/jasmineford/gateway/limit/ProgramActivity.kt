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

    private val counts = HashMap<String, Count>()
    private val changed = HashSet<String>()
    private var sweptAt = clock.now()

    /** Counts a call of [program] and returns its admission class. */
    fun recordCall(program: String): AdmissionClass {
        val count = countOf(program)
        val admissionClass = classOf(count)
        count.own++
        changed.add(program)
        return admissionClass
    }

    /** Records that a turn of [program] was refused because its token budget is spent. */
    fun recordBudgetSpent(program: String) {
        countOf(program).isBudgetSpent = true
    }

    /** Applies the counts that daemon [from] reports. */
    fun applyPeerCounts(
        from: String,
        reported: Map<String, Int>
    ) = reported.forEach { (program, count) -> countOf(program).atPeers[from] = count }

    /** Returns this daemon's counts that have changed since the last call of this function. */
    fun takeChanges(): Map<String, Int> {
        sweep()
        val reported = changed.associateWith { counts[it]?.own ?: 0 }
        changed.clear()
        return reported
    }

    private fun countOf(program: String): Count {
        val count = counts.getOrPut(program) { Count(at = clock.now()) }
        count.at = clock.now()
        return count
    }

    private fun classOf(count: Count) = when {
        count.isBudgetSpent || count.total > MAX_USUAL_CALLS -> AdmissionClass.EXCESSIVE
        count.total == 0 -> AdmissionClass.NEW
        else -> AdmissionClass.UNDER_WAY
    }

    private fun sweep() {
        if (clock.now() - sweptAt < SWEEP_PERIOD) return
        sweptAt = clock.now()
        counts.values.removeIf { clock.now() - it.at > RETENTION }
    }

    private companion object {
        /** Calls of a program with twice the usual number of turns, including tool calls; more are excessive. */
        const val MAX_USUAL_CALLS = 64

        /** Idle time after which a program is forgotten; programs in progress pause for less. */
        val RETENTION = 60.seconds
        val SWEEP_PERIOD = 5.seconds
    }
}
