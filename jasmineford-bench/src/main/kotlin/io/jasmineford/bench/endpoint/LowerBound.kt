package io.jasmineford.bench.endpoint

import io.jasmineford.standin.engine.EngineProfile
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * 95th percentile of program latency that no scheduler can reach: as many endpoints as needed, each at the batch size that
 * it has at the offered load, a perfect cache and no queue.
 */
fun Workload.lowerBound(): Duration {
    val decode = batchInterval(this)
    return programs.map { it.bestLatency(profile, decode) }.p95()
}

/** Time between tokens when each endpoint carries an equal part of the load over the time in which programs arrive. */
private fun batchInterval(workload: Workload): Duration {
    val profile = workload.profile
    val length = workload.programs.maxOf { it.arrivesAt }
    val turns = workload.programs.flatMap { it.allTurns() }
    val endpointTime = length * workload.endpoints
    val prefill = profile.prefillPerToken * turns.sumOf { it.newTokens.toLong() }.toDouble()
    val output = turns.sumOf { it.outputTokens.toLong() }.toDouble()
    val perSequence = profile.stepPerSequence * output
    // The rest of the time is the base cost of steps, which gives their number and from it the batch size.
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
