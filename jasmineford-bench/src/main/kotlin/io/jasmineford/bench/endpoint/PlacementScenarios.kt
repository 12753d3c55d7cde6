package io.jasmineford.bench.endpoint

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.standin.engine.EngineProfile
import kotlin.time.Duration.Companion.seconds

private const val LATENCY_TO_ROUND_ROBIN = 0.6
private const val LATENCY_TO_LOWER_BOUND = 1.5
private const val WASTE_SHARE = 0.05
private const val WASTE_TO_OFFLINE = 1.2
private const val FIRST_TOKEN_SECONDS = 0.5

private val variants = listOf(
    PRODUCT_VARIANT to productVariant,
    "round-robin" to roundRobin,
    "least-loaded" to leastLoaded,
    "sticky-by-program" to stickyByProgram,
)

/** Scenarios of order and placement at 0.8 of capacity. */
val placementScenarios: List<Scenario> = listOf(
    placement("placement-league", "League match night", leagueMatchNight),
    placement("placement-shop", "Shop with many turns", shopManyTurns),
    placement("placement-long-burst", "A burst of long programs", longBurst),
    placement("placement-hot-prefix", "A hot shared prefix", hotPrefix),
    Scenario("placement-small-memory", "Paused programs need more cache memory than the fleet has") { seed ->
        val workload = generate("small-memory", shopSmallMemory, seed, profile = smallMemory)
        val results = run(workload, seed)
        results.flatMap { (variant, result) ->
            measures("placement-small-memory", variant, result, results.getValue("round-robin"), seed)
                .filter { it.measure != "wasted-cache-share" } + wasteToOffline(variant, result, seed)
        }
    },
)

private fun placement(name: String, description: String, shape: ProgramShape) = Scenario(name, description) { seed ->
    val workload = generate(name, shape, seed, profile = EngineProfile())
    val results = run(workload, seed)
    results.flatMap { (variant, result) -> measures(name, variant, result, results.getValue("round-robin"), seed) }
}

private fun run(workload: Workload, seed: Long): Map<String, SimulationResult> =
    variants.associate { (name, factory) -> name to FleetSimulation(workload, factory, seed).run() }

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
        figure("p95-latency-to-round-robin", result.p95Latency / roundRobin.p95Latency, "ratio", LATENCY_TO_ROUND_ROBIN),
        figure(
            "p95-latency-to-lower-bound",
            result.p95Latency / result.workload.lowerBound(),
            "ratio",
            LATENCY_TO_LOWER_BOUND,
        ),
        figure("wasted-cache-share", result.wasteShare, "share", WASTE_SHARE),
        figure("p95-first-token", result.firstTokens.p95() / 1.seconds, "s", FIRST_TOKEN_SECONDS),
    )
}

private fun wasteToOffline(variant: String, result: SimulationResult, seed: Long): List<Measurement> {
    val offline = result.offlineWaste().toDouble()
    val isProduct = variant == PRODUCT_VARIANT
    return listOf(
        Measurement("placement-small-memory", variant, "wasted-cache-share", result.wasteShare, "share", null, seed),
        Measurement(
            scenario = "placement-small-memory",
            variant = variant,
            measure = "wasted-cache-to-offline",
            value = result.wastedTokens / offline,
            unit = "ratio",
            bound = WASTE_TO_OFFLINE.takeIf { isProduct },
            seed = seed,
        ),
    )
}
