package io.jasmineford.bench.endpoint

import io.jasmineford.standin.engine.EngineProfile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Lower bound for the 95th percentile of program latency under any scheduler: calls never queue, every cached prefix is
 * found, and each endpoint runs at the batch size that it has at the offered load.
 */
fun Workload.lowerBound(): Duration {
    val decode = batchInterval(this)
    return programs.map { it.bestLatency(profile, decode) }.p95()
}

/** Time between tokens when the load is spread evenly over all endpoints and over the arrival period. */
private fun batchInterval(workload: Workload): Duration {
    val profile = workload.profile
    val length = workload.programs.maxOf { it.arrivesAt }
    val turns = workload.programs.flatMap { it.allTurns() }
    val endpointTime = length * workload.endpoints
    val prefill = profile.prefillPerToken * turns.sumOf { it.newTokens.toLong() }.toDouble()
    val output = turns.sumOf { it.outputTokens.toLong() }.toDouble()
    val perSequence = profile.stepPerSequence * output
    // The remaining time is the base cost of steps, which gives the number of steps and thus the batch size.
    val steps = (endpointTime - prefill - perSequence) / profile.stepBase
    val fullBatchSteps = output / profile.maxBatch
    return endpointTime / maxOf(steps, fullBatchSteps)
}

private fun ProgramPlan.allTurns(): List<TurnPlan> =
    turns.flatMap { turn -> listOf(turn) + turn.subAgents.flatMap { it.allTurns() } }

private fun ProgramPlan.bestLatency(profile: EngineProfile, decode: Duration): Duration {
    val last = turns.size - 1
    return turns.withIndex().fold(0.seconds) { sum, (index, turn) ->
        val call = profile.prefillPerToken * turn.newTokens + decode * turn.outputTokens
        val parts = turn.subAgents.map { it.bestLatency(profile, decode) } + turn.pauseAfter
        sum + call + if (index == last) Duration.ZERO else parts.max()
    }
}
