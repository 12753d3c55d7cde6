package io.jasmineford.bench

import kotlinx.serialization.Serializable

/** How a measure changed between two runs. Lower is better for every measure. */
@Serializable
enum class Verdict { WORSE, BETTER, ADDED, REMOVED, SAME }

/**
 * One measure in two runs.
 *
 * @property old null when the old run lacks the measure.
 * @property new null when the new run lacks the measure.
 * @property changePercent change in percent of the old value; null when that is 0 or one value is missing.
 * @property isBoundExceeded whether the new value exceeds its bound.
 */
@Serializable
data class ComparisonRow(
    val scenario: String,
    val variant: String,
    val measure: String,
    val unit: String,
    val seed: Long,
    val verdict: Verdict,
    val old: Double?,
    val new: Double?,
    val changePercent: Double?,
    val isBoundExceeded: Boolean,
)

/** Compares two runs by measure, sorted by verdict in the order of [Verdict], then by size of the change. */
fun compareRuns(old: List<Measurement>, new: List<Measurement>): List<ComparisonRow> {
    val before = old.associateBy { it.key }
    val after = new.associateBy { it.key }
    return (before.keys + after.keys)
        .map { row(before[it], after[it]) }
        .sortedWith(compareBy({ it.verdict }, { -kotlin.math.abs(it.changePercent ?: Double.MAX_VALUE) }))
}

private fun row(old: Measurement?, new: Measurement?): ComparisonRow {
    val any = checkNotNull(new ?: old) { "expected a measure in one of the runs, actual none" }
    val change = if (old != null && new != null) new.value - old.value else null
    return ComparisonRow(
        scenario = any.scenario,
        variant = any.variant,
        measure = any.measure,
        unit = any.unit,
        seed = any.seed,
        verdict = verdictOf(old, new),
        old = old?.value,
        new = new?.value,
        changePercent = change?.takeIf { old?.value != 0.0 }?.let { it / (old?.value ?: 1.0) * PERCENT },
        isBoundExceeded = new != null && !new.isWithinBound,
    )
}

private fun verdictOf(old: Measurement?, new: Measurement?): Verdict = when {
    old == null -> Verdict.ADDED
    new == null -> Verdict.REMOVED
    new.value > old.value -> Verdict.WORSE
    new.value < old.value -> Verdict.BETTER
    else -> Verdict.SAME
}

private data class MeasureKey(val scenario: String, val variant: String, val measure: String, val seed: Long)

private val Measurement.key get() = MeasureKey(scenario, variant, measure, seed)

private const val PERCENT = 100.0
