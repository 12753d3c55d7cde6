package io.jasmineford.bench.endpoint

import io.jasmineford.core.program.ProgramId
import io.jasmineford.standin.engine.EnginePrompt
import kotlin.math.ceil
import kotlin.time.Duration

/** Whole latency of one program, tool pauses included. */
data class ProgramResult(
    val plan: ProgramPlan,
    val latency: Duration,
)

/** One call that ended. */
data class CallResult(
    val program: ProgramId,
    val submittedAt: Duration,
    val prompt: EnginePrompt,
    val turn: TurnPlan,
    val cachedTokens: Int,
)

/** What a simulation measured. */
class SimulationResult(val workload: Workload) {
    val programs = mutableListOf<ProgramResult>()
    val calls = mutableListOf<CallResult>()
    val firstTokens = mutableListOf<Duration>()

    /** 95th percentile of whole-program latency. */
    val p95Latency: Duration get() = programs.map { it.latency }.p95()

    /** Prompt tokens of all calls. */
    val promptTokens: Long get() = calls.sumOf { it.prompt.tokens.toLong() }

    /** Prompt tokens that were computed although they had been computed before. */
    val wastedTokens: Long get() = calls.sumOf { (it.prompt.tokens - it.turn.newTokens - it.cachedTokens).toLong() }

    /** [wastedTokens] as a share of [promptTokens]. */
    val wasteShare: Double get() = wastedTokens.toDouble() / promptTokens
}

/** 95th percentile. */
fun List<Duration>.p95(): Duration = sorted()[ceil(size * P95).toInt() - 1]

private const val P95 = 0.95
