package io.jasmineford.bench.program

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.core.call.Outcome

/**
 * Runs schedules with each kind of fault alone and with each pair of kinds, and counts the violations: histories that
 * are lost, reordered or mixed with another program's, non-idempotent calls that run twice, overdrawn budgets, refusals
 * of calls that did run, and programs that make no progress.
 */
val faultMatrix: Scenario = Scenario(
    name = "fault-matrix",
    description = "violations of invariants I1 to I3, I12 and I13 under each fault alone and in pairs",
) { seed ->
    combinations().flatMap { faults -> measure(faults, seed) }
}

private fun combinations(): List<List<ScheduleFault>> {
    val faults = ScheduleFault.entries
    val pairs = faults.flatMapIndexed { index, first -> faults.drop(index + 1).map { listOf(first, it) } }
    return listOf(emptyList<ScheduleFault>()) + faults.map { listOf(it) } + pairs
}

private fun measure(faults: List<ScheduleFault>, seed: Long): List<Measurement> {
    val seeds = (0 until SCHEDULES).map { seed * SCHEDULES + it }
    val results = seeds.map { ProgramSchedule(it, ScheduleSettings(faults = faults.toSet())).run() }
    val outcomes = results.flatMap { it.outcomes.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() }
    val unknown = outcomes[Outcome.OUTCOME_UNKNOWN] ?: 0
    val name = faults.joinToString("+") { it.name.lowercase().replace('_', '-') }.ifEmpty { "lost-messages" }
    return listOf(
        Measurement(MATRIX, PRODUCT_VARIANT, "$name:violations", results.sumOf { it.violations.size }.toDouble(), "count", 0.0, seed),
        Measurement(MATRIX, PRODUCT_VARIANT, "$name:unknown", PERCENT * unknown / outcomes.values.sum(), "%", null, seed),
    )
}

private const val MATRIX = "fault-matrix"

/** Number of schedules for each combination of faults. */
private const val SCHEDULES = 10
private const val PERCENT = 100.0
