package io.jasmineford.bench.endpoint

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.standin.engine.EngineProfile
import kotlin.time.Duration.Companion.seconds

private const val MAX_LATENCY_TO_ROUND_ROBIN = 0.6
internal const val MAX_LATENCY_TO_LOWER_BOUND = 1.5
private const val MAX_WASTE_SHARE = 0.05
internal const val MAX_FIRST_TOKEN_SECONDS = 0.5

/** The product and the placement baselines that it is compared with. */
internal val placementVariants: List<Pair<String, VariantFactory>> = listOf(
    PRODUCT_VARIANT to productVariant,
    "round-robin" to roundRobin,
    "least-loaded" to leastLoaded,
    "sticky-by-program" to stickyByProgram,
)

/** Scenarios of call order and placement at a load of 0.8 of capacity. */
val placementScenarios: List<Scenario> = listOf(
    placement("placement-league", "League match night", leagueMatchNight),
    placement("placement-shop", "Shop with many turns", shopManyTurns),
    placement("placement-long-burst", "A burst of long programs", longBurst),
    placement("placement-hot-prefix", "A hot shared prefix", hotPrefix),
)

private fun placement(name: String, description: String, shape: ProgramShape) = Scenario(name, description) { seed ->
    val workload = generate(name, shape, seed, profile = EngineProfile())
    val results = runPlacement(workload, seed)
    results.flatMap { (variant, result) -> measures(name, variant, result, results.getValue("round-robin"), seed) }
}

internal fun runPlacement(workload: Workload, seed: Long): Map<String, SimulationResult> =
    placementVariants.associate { (name, factory) -> name to FleetSimulation(workload, factory, seed).run() }

private fun measures(
    scenario: String,
    variant: String,
    result: SimulationResult,
    roundRobin: SimulationResult,
    seed: Long,
): List<Measurement> {
    val latency = result.p95Latency / 1.seconds
    val figure = { measure: String, value: Double, unit: String, bound: Double? ->
        Measurement(scenario, variant, measure, value, unit, bound.takeIf { variant == PRODUCT_VARIANT }, seed)
    }
    return listOf(
        figure("p95-program-latency", latency, "s", null),
        figure("p95-latency-to-round-robin", result.p95Latency / roundRobin.p95Latency, "ratio", MAX_LATENCY_TO_ROUND_ROBIN),
        figure(
            "p95-latency-to-lower-bound",
            result.p95Latency / result.workload.lowerBound(),
            "ratio",
            MAX_LATENCY_TO_LOWER_BOUND,
        ),
        figure("wasted-cache-share", result.wasteShare, "share", MAX_WASTE_SHARE),
        figure("p95-first-token", result.firstTokens.p95() / 1.seconds, "s", MAX_FIRST_TOKEN_SECONDS),
    )
}
