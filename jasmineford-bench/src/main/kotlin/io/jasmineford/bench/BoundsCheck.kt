package io.jasmineford.bench

/**
 * Result of checking the bounds of all scenarios against the list of known failures.
 *
 * @property unexpectedFailures measures above their bounds that are not in the list.
 * @property expectedFailures listed measures that exceed their bounds, as expected.
 * @property unexpectedPasses entries whose measure is within its bound; they must be removed from the list.
 * @property unknownMeasures entries that name a measure that no scenario reported.
 */
data class BoundsReport(
    val unexpectedFailures: List<Measurement>,
    val expectedFailures: List<Measurement>,
    val unexpectedPasses: List<KnownFailure>,
    val unknownMeasures: List<KnownFailure>,
) {
    /** Whether there are no unlisted failures and every entry of the list still fails. */
    val isAsExpected: Boolean
        get() = unexpectedFailures.isEmpty() && unexpectedPasses.isEmpty() && unknownMeasures.isEmpty()
}

/** Runs [scenarios] with the default seed, and those with measures in [known] also with the seeds of these entries. */
fun checkBounds(scenarios: List<Scenario>, known: List<KnownFailure>): BoundsReport {
    val listed = known.filter { it.measure != null }
    val runs = scenarios.map { it to DEFAULT_SEED } + listed.mapNotNull { entry ->
        scenarios.firstOrNull { it.name == entry.measure?.substringBefore('/') }?.let { it to entry.seed }
    }
    val measured = runs.distinctBy { (scenario, seed) -> scenario.name to seed }
        .flatMap { (scenario, seed) -> scenario.run(seed) }
        .groupBy { it.path to it.seed }
    val listedKeys = listed.map { it.measure to it.seed }.toSet()
    val above = measured.values.flatten().filterNot { it.isWithinBound }
    val (expectedFailures, unexpectedFailures) = above.partition { (it.path to it.seed) in listedKeys }
    return BoundsReport(
        unexpectedFailures = unexpectedFailures,
        expectedFailures = expectedFailures,
        unexpectedPasses = listed.filter { entry ->
            measured[entry.measure to entry.seed]?.all { it.isWithinBound } == true
        },
        unknownMeasures = listed.filter { (it.measure to it.seed) !in measured },
    )
}

/** `scenario/variant/measure`, as KNOWN-RED.txt names it. */
val Measurement.path: String get() = "$scenario/$variant/$measure"
