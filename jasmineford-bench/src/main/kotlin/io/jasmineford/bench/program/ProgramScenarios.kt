package io.jasmineford.bench.program

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.core.call.Outcome
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val BASELINE = "two-writes-a-turn"
private const val SCHEDULE_COUNT = 100

/**
 * Turns per second and minimum interval between writes: of one VM, and of a writer shared by 13 VMs, at the design size
 * of 26,000 turns per second on 390 VMs. There, 30 shared writers at 75 ms stay within 400 store writes per second.
 */
private val loads = listOf(67.0 to 20.milliseconds, 870.0 to 20.milliseconds, 870.0 to 75.milliseconds)

/** Scenarios of durable agent programs. */
val programScenarios: List<Scenario> = listOf(
    Scenario("program-commit", "Cost of durable turns: group commit against one write before and one after each turn") { seed ->
        loads.flatMap { (rate, interval) ->
            val load = "${rate.toInt()}-turns-per-second-and-$interval"
            commitMeasures(PRODUCT_VARIANT, load, CommitRun(seed, rate).groupCommit(interval), seed) +
                commitMeasures(BASELINE, load, CommitRun(seed, rate).twoWrites(), seed)
        }
    },
    Scenario("program-takeover", "Loss of one of three VMs: time until its programs are served again, and store calls") { seed ->
        listOf(10, 100).flatMap { takeoverMeasures(it, seed) }
    },
    Scenario("program-faults", "Programs under random faults: violated properties and unknown outcomes") { seed ->
        faultMeasures(seed)
    },
)

private fun commitMeasures(variant: String, load: String, cost: CommitCost, seed: Long): List<Measurement> {
    val waits = cost.waits.sorted()
    val figure = { measure: String, value: Double, unit: String ->
        Measurement("program-commit", variant, "$measure-at-$load", value, unit, null, seed)
    }
    return listOf(
        figure("store-writes-per-turn", cost.writes.toDouble() / cost.turns, "writes"),
        figure("bytes-per-turn", cost.bytes.toDouble() / cost.turns, "bytes"),
        figure("mean-added-latency", waits.fold(Duration.ZERO, Duration::plus) / waits.size / 1.milliseconds, "ms"),
        figure("p95-added-latency", waits[waits.size * 95 / 100] / 1.milliseconds, "ms"),
    )
}

private fun takeoverMeasures(programs: Int, seed: Long): List<Measurement> {
    val result = TakeoverRun(seed, programs).run()
    val figure = { measure: String, value: Double, unit: String ->
        Measurement("program-takeover", PRODUCT_VARIANT, "$measure-with-$programs-programs", value, unit, null, seed)
    }
    return listOf(
        figure("kill-to-served", result.killToServed / 1.milliseconds, "ms"),
        figure("revocation-to-served", result.revocationToServed / 1.milliseconds, "ms"),
        figure("store-calls-per-program", result.storeCalls.toDouble() / programs, "calls"),
    )
}

private fun faultMeasures(seed: Long): List<Measurement> {
    val results = (0 until SCHEDULE_COUNT).map { ProgramSchedule(seed * SCHEDULE_COUNT + it).run() }
    val outcomes = results.flatMap { it.outcomes.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
    val unknown = (outcomes[Outcome.OUTCOME_UNKNOWN] ?: 0).toDouble() / outcomes.values.sum()
    val broken = results.sumOf { it.violations.size }.toDouble()
    return listOf(
        Measurement("program-faults", PRODUCT_VARIANT, "broken-properties", broken, "count", bound = 0.0, seed),
        Measurement("program-faults", PRODUCT_VARIANT, "outcome-unknown-share", unknown, "share", bound = null, seed),
    )
}
