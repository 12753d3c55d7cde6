package io.jasmineford.bench.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A deployment as described in section 1 of docs/design.md.
 *
 * @property zoneDelay one-way delay between zones.
 * @property clientDelay one-way delay between a client and an entry VM.
 * @property accountShares share of programs that each client account starts.
 * @property turns range of the number of turns of a program.
 * @property promptTokens range of the new prompt tokens of a turn.
 * @property outputTokens range of the generated tokens of a turn.
 * @property toolPause mean pause between two turns.
 * @property programsPerSecond mean rate of new programs over all accounts.
 */
data class DeploymentShape(
    val name: String,
    val zones: List<String>,
    val zoneDelay: Duration,
    val clientDelay: Duration,
    val accountShares: List<Double>,
    val turns: IntRange,
    val promptTokens: IntRange,
    val outputTokens: IntRange,
    val toolPause: Duration,
    val programsPerSecond: Double,
    val vmsPerZone: Int = 2,
    val enginesPerZone: Int = 2,
)

/** Drafting of challenge proposals and a negotiator with memory: long answers, a moderate number of turns. */
val league = DeploymentShape(
    name = "league",
    zones = listOf("be-wal-a", "be-wal-b", "be-wal-c"),
    zoneDelay = 0.5.milliseconds,
    clientDelay = 1.milliseconds,
    accountShares = listOf(0.3, 0.25, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02),
    turns = 3..9,
    promptTokens = 150..500,
    outputTokens = 60..160,
    toolPause = 1.seconds,
    programsPerSecond = 4.0,
)

/** Tagging, pricing and a buyer chat with many short turns. */
val shop = DeploymentShape(
    name = "shop",
    zones = listOf("ub-a", "ub-b", "ub-c"),
    zoneDelay = 1.5.milliseconds,
    clientDelay = 3.milliseconds,
    accountShares = listOf(0.35, 0.2, 0.15, 0.1, 0.08, 0.06, 0.04, 0.02),
    turns = 8..20,
    promptTokens = 30..200,
    outputTokens = 30..90,
    toolPause = 2.seconds,
    programsPerSecond = 2.5,
)
