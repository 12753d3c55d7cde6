package io.jasmineford.bench.endpoint

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAX_OFFERED_TO_USEFUL = 1.2
private const val MAX_RETURN_TO_STEADY = 1.5
private const val MAX_CRASHES_OF_ONE_REQUEST = 2.0
private val FAULT_AT = 80.seconds
private val FAULT_END = 140.seconds
private val FAILED_PROGRAM_LATENCY = 600.seconds
private val STEADY_FROM = 30.seconds

/** Simulated time until a configuration change reaches every VM; the target for zone changes is 2 s. */
private val CONFIGURATION_DELAY = 1.seconds

private val shape = leagueMatchNight.copy(load = 0.5, subAgentShare = 0.0, rateAt = { 1.0 })

private fun variants(seed: Long): List<Pair<String, FaultVariantFactory>> = listOf(
    PRODUCT_VARIANT to { clock, endpoints -> GuardedVariant(clock, Random(seed), endpoints) },
    "naive-retry" to { clock, endpoints -> NaiveRetryVariant(clock, endpoints) },
)

/** Scenarios of endpoints that fail, leave service and return. */
val faultScenarios: List<Scenario> = listOf(
    scenario("half-dead-fleet", "Three of six engines are down for a minute at 0.8 of capacity", shape.copy(load = 0.8)) { run ->
        run.events.at(FAULT_AT) { run.engines.take(3).forEach { run.crash(it, FAULT_END - FAULT_AT) } }
    },
    scenario("zone-out-and-return", "A zone leaves service and returns with cold engines") { run ->
        val zone = run.endpoints.first().zone
        val engines = run.engines.filterIndexed { index, _ -> run.endpoints[index].zone == zone }
        run.events.at(FAULT_AT) { run.setZone(zone, isIn = false, CONFIGURATION_DELAY) }
        run.events.at(FAULT_AT + 20.seconds) { engines.forEach { run.crash(it, 5.seconds) } }
        run.events.at(FAULT_END) { run.setZone(zone, isIn = true, CONFIGURATION_DELAY) }
    },
    scenario("zone-lost", "A zone fails without notice for a minute and returns with cold engines") { run ->
        val zone = run.endpoints.first().zone
        val engines = run.engines.filterIndexed { index, _ -> run.endpoints[index].zone == zone }
        run.events.at(FAULT_AT) { engines.forEach { run.crash(it, FAULT_END - FAULT_AT) } }
    },
    Scenario("crashing-request", "A caller keeps sending a request that crashes its engine") { seed ->
        variants(seed).flatMap { (variant, factory) -> crashingRequest(variant, factory, seed) }
    },
)

private fun scenario(
    name: String,
    description: String,
    programs: ProgramShape = shape,
    faults: (FaultSimulation) -> Unit,
) = Scenario(name, description) { seed ->
    val workload = generate(name, programs, seed)
    variants(seed).flatMap { (variant, factory) ->
        val run = FaultSimulation(workload, factory, seed).also(faults).run()
        measures(name, variant, run, seed)
    }
}

private fun measures(name: String, variant: String, run: FaultSimulation, seed: Long): List<Measurement> {
    val figure = { measure: String, value: Double, unit: String, bound: Double? ->
        Measurement(name, variant, measure, value, unit, bound.takeIf { variant == PRODUCT_VARIANT }, seed)
    }
    val fault = FAULT_AT..FAULT_END
    val offered = run.attempts.count { it.at in fault }.toDouble() / run.answers.count { it.at in fault }
    val steady = run.latency(STEADY_FROM..FAULT_AT - 20.seconds)
    val afterwards = run.latency(FAULT_END..FAULT_END + 60.seconds)
    val common = listOf(
        figure("offered-to-useful", offered, "ratio", MAX_OFFERED_TO_USEFUL),
        figure("failed-calls", run.failures.size.toDouble(), "calls", null),
        figure("engine-crashes-on-return", run.overloadCrashes(name).toDouble(), "crashes", 0.0),
        figure("last-failure-after-return", run.recovery() / 1.seconds, "s", null),
        figure("p95-return-to-steady", afterwards / steady, "ratio", MAX_RETURN_TO_STEADY.takeIf { name.startsWith("zone") }),
    )
    if (name != "zone-out-and-return") return common
    val zone = run.endpoints.first().zone
    val names = run.endpoints.filter { it.zone == zone }.map { it.name }
    val late = run.attempts.count { it.endpoint in names && it.at in FAULT_AT + 2.seconds..FAULT_END }
    return common + figure("sent-to-zone-after-2-s", late.toDouble(), "calls", 0.0)
}

/** Crashes caused by overload, that is, all but those that the scenario injected. */
private fun FaultSimulation.overloadCrashes(name: String): Int {
    val caused = if (name == "half-dead-fleet") 3 else 2
    return engines.sumOf { it.crashes } - caused
}

private fun FaultSimulation.recovery(): Duration {
    val last = failures.maxOfOrNull { it.first } ?: Duration.ZERO
    return (last - FAULT_END).coerceAtLeast(Duration.ZERO)
}

/** 95th percentile of program latency; a failed program counts as [FAILED_PROGRAM_LATENCY]. */
private fun FaultSimulation.latency(arrivals: ClosedRange<Duration>): Duration {
    val completed = programs.filter { it.plan.arrivesAt in arrivals }.map { it.latency }
    val failed = failures.filter { it.second.arrivesAt in arrivals }.map { FAILED_PROGRAM_LATENCY }
    return (completed + failed).p95()
}

private fun crashingRequest(variant: String, factory: FaultVariantFactory, seed: Long): List<Measurement> {
    val workload = generate("crashing-request", shape, seed)
    val fatal = workload.programs.filterIndexed { index, plan -> index % 40 == 0 && plan.arrivesAt > STEADY_FROM }
        .map { it.id }
        .toSet()
    val run = FaultSimulation(workload, factory, seed, isFatal = { it.id in fatal }).run()
    val crashes = run.engines.sumOf { it.crashes }.toDouble()
    val innocent = run.failures.count { it.second.id !in fatal }.toDouble()
    val bound = MAX_CRASHES_OF_ONE_REQUEST.takeIf { variant == PRODUCT_VARIANT }
    return listOf(
        Measurement("crashing-request", variant, "engine-crashes", crashes, "crashes", bound, seed),
        Measurement("crashing-request", variant, "innocent-failures", innocent, "calls", null, seed),
        Measurement("crashing-request", variant, "times-sent", fatal.size.toDouble(), "calls", null, seed),
    )
}
