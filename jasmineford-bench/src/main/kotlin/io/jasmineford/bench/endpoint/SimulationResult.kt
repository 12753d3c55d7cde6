package io.jasmineford.bench.endpoint

import io.jasmineford.core.program.ProgramId
import io.jasmineford.standin.engine.EnginePrompt
import kotlin.math.ceil
import kotlin.time.Duration

/** A completed program with its latency from arrival to end, including tool pauses. */
data class ProgramResult(
    val plan: ProgramPlan,
    val latency: Duration,
)

/** A completed call. */
data class CallResult(
    val program: ProgramId,
    val submittedAt: Duration,
    val prompt: EnginePrompt,
    val turn: TurnPlan,
    val cachedTokens: Int,
)

/** Results of a simulation. */
class SimulationResult(val workload: Workload) {
    val programs = mutableListOf<ProgramResult>()
    val calls = mutableListOf<CallResult>()
    val firstTokens = mutableListOf<Duration>()

    /** 95th percentile of program latency. */
    val p95Latency: Duration get() = programs.map { it.latency }.p95()

    /** Total prompt tokens of all calls. */
    val promptTokens: Long get() = calls.sumOf { it.prompt.tokens.toLong() }

    /** Recomputed prompt tokens: those that an earlier call had computed and that were not cached. */
    val wastedTokens: Long get() = calls.sumOf { (it.prompt.tokens - it.turn.newTokens - it.cachedTokens).toLong() }

    /** [wastedTokens] as a share of [promptTokens]. */
    val wasteShare: Double get() = wastedTokens.toDouble() / promptTokens
}

/** 95th percentile. */
fun List<Duration>.p95(): Duration = sorted()[ceil(size * P95).toInt() - 1]

private const val P95 = 0.95
