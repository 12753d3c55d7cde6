package io.jasmineford.bench.endpoint

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val NAME = "fair-shares"
private const val MAX_LATENCY_TO_ALONE = 1.2
private const val GREEDY_FACTOR = 5.0
private val ACCOUNTS = List(6) { "account-$it" }

/**
 * Six accounts with equal shares on six endpoints; the first sends five times its rate. The latency of each other
 * account is compared with a run of its programs alone on one endpoint, which is its fair share.
 */
val fairScenario: Scenario = Scenario(NAME, "One account sends five times its rate") { seed ->
    val mixed = mixed(seed)
    listOf(PRODUCT_VARIANT to productVariant, "first-come-first-served" to firstComeFirstServed)
        .flatMap { (variant, factory) -> measures(variant, FleetSimulation(mixed, factory, seed).run(), alone(mixed, seed), seed) }
}

private fun mixed(seed: Long): Workload {
    val normal = leagueMatchNight.copy(accounts = ACCOUNTS, accountWeight = { 1.0 }, rateAt = { 1.0 })
    val greedy = normal.copy(accounts = ACCOUNTS.take(1), load = normal.load / ACCOUNTS.size * (GREEDY_FACTOR - 1))
    val within = generate(NAME, normal, seed)
    val above = generate(NAME, greedy, seed + 1).programs.map { it.renamed("greedy-") }
    return within.copy(programs = (within.programs + above).sortedBy { it.arrivesAt })
}

private fun ProgramPlan.renamed(prefix: String): ProgramPlan = copy(
    id = id.copy(name = prefix + id.name),
    turns = turns.map { turn -> turn.copy(subAgents = turn.subAgents.map { it.renamed(prefix) }) },
)

/** 95th percentile of program latency of each account but the first, when it runs alone on one endpoint. */
private fun alone(mixed: Workload, seed: Long): Map<String, Duration> = ACCOUNTS.drop(1).associateWith { account ->
    val programs = mixed.programs.filter { it.id.account.name == account }
    FleetSimulation(mixed.copy(programs = programs, endpoints = 1), productVariant, seed).run().p95Latency
}

private fun measures(
    variant: String,
    result: SimulationResult,
    alone: Map<String, Duration>,
    seed: Long,
): List<Measurement> {
    val latencies = result.programs.groupBy { it.plan.id.account.name }.mapValues { (_, runs) -> runs.map { it.latency }.p95() }
    val worst = alone.keys.maxBy { latencies.getValue(it) / alone.getValue(it) }
    val ratio = latencies.getValue(worst) / alone.getValue(worst)
    val bound = MAX_LATENCY_TO_ALONE.takeIf { variant == PRODUCT_VARIANT }
    return listOf(
        Measurement(NAME, variant, "worst-p95-latency-to-alone", ratio, "ratio", bound, seed),
        Measurement(NAME, variant, "worst-p95-latency", latencies.getValue(worst) / 1.seconds, "s", null, seed),
        Measurement(NAME, variant, "greedy-p95-latency", latencies.getValue(ACCOUNTS[0]) / 1.seconds, "s", null, seed),
    )
}
