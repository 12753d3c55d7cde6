package io.jasmineford.bench.capacity

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.objective.CallCounters
import io.jasmineford.core.objective.CallLabels
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.objective.DecisionStep
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.VirtualClock
import kotlin.time.Duration.Companion.minutes

private fun countersHeap(accounts: Int): Double = heapMegabytes {
    val clock = VirtualClock()
    val counters = CallCounters(clock)
    // A little more than an hour fills the ring of minute buckets; the coarser rings then have a few buckets each.
    repeat(MINUTES) {
        repeat(accounts) { counters.count(CallLabels(ScopedName("organisation", "account-$it"), "chat", "zone", Outcome.RESULT)) }
        clock.advance(1.minutes)
    }
    counters
}

private fun decisionsHeap(programs: Int): Double = heapMegabytes {
    val log = DecisionLog("vm", wallClock = { 0 })
    repeat(programs) { program ->
        val id = ProgramId(ScopedName("organisation", "account"), "program-$program")
        repeat(RECORDS_PER_PROGRAM) { log.record(id, DecisionStep.PLACED, StringBuilder("endpoint e$it, 900 of 1000 tokens cached").toString()) }
    }
    log
}

/** Heap of the error budget counters and of the decision log. */
internal fun reportProbes(): List<CapacityProbe> = listOf(
    CapacityProbe("counters-heap", "MB a daemon", "account", listOf(10, 50, 200), DESIGN_ACCOUNTS, ::countersHeap),
    CapacityProbe("decisions-heap", "MB a daemon", "program", listOf(100, 400, 923), DESIGN_PROGRAMS, ::decisionsHeap),
)

/** Accounts per daemon at 390 daemons; an account of average size has callers at few VMs. */
private const val DESIGN_ACCOUNTS = 200
private const val DESIGN_PROGRAMS = 923
private const val MINUTES = 70
private const val RECORDS_PER_PROGRAM = 64
