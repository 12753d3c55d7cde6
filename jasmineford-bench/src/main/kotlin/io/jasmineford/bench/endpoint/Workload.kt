package io.jasmineford.bench.endpoint

import io.jasmineford.core.config.Priority
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.schedule.PauseKind
import io.jasmineford.standin.engine.EngineProfile
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * One turn of a program.
 *
 * @property newTokens prompt tokens that no earlier call contained.
 * @property pauseAfter time that a tool or the user takes before the next turn.
 * @property pause whether the next turn waits for a tool or for the user.
 * @property subAgents programs that start after this turn; the next turn waits for all of them to end.
 */
data class TurnPlan(
    val newTokens: Int,
    val outputTokens: Int,
    val pauseAfter: Duration,
    val pause: PauseKind = PauseKind.TOOL,
    val subAgents: List<ProgramPlan> = emptyList(),
)

/** All turns of a program in advance. Schedulers see only the calls, one after another. */
data class ProgramPlan(
    val id: ProgramId,
    val arrivesAt: Duration,
    val shared: String,
    val sharedTokens: Int,
    val turns: List<TurnPlan>,
    val priority: Priority = Priority.DRAFT,
)

/** Programs, and the number and profile of the engines that serve them. */
data class Workload(
    val name: String,
    val programs: List<ProgramPlan>,
    val endpoints: Int = 6,
    val profile: EngineProfile = EngineProfile(),
)

/**
 * Distribution from which programs are drawn; ranges are drawn from for each program and turn.
 *
 * @property load offered load as a share of the capacity with full batches and a perfect cache.
 * @property subAgentShare share of turns that start sub-agents.
 * @property userShare share of turns after which the program waits for its user.
 * @property userPause time that a user takes to answer.
 * @property length period in which programs arrive.
 * @property rateAt factor on the arrival rate by position in the run, from 0 (start) to 1 (end).
 */
data class ProgramShape(
    val organisation: String,
    val accounts: List<String>,
    val accountWeight: (Int) -> Double = { 1.0 },
    val sharedTokens: Int,
    val turns: IntRange,
    val firstTokens: IntRange,
    val newTokens: IntRange,
    val outputTokens: IntRange,
    val meanPause: Duration,
    val subAgentShare: Double = 0.0,
    val userShare: Double = 0.0,
    val userPause: ClosedRange<Duration> = 10.seconds..30.seconds,
    val load: Double = 0.8,
    val length: Duration = 240.seconds,
    val rateAt: (Double) -> Double = { 1.0 },
)

/** Draws programs of [shape] for [endpoints] engines with [profile]; the same seed gives the same programs. */
fun generate(
    name: String,
    shape: ProgramShape,
    seed: Long,
    endpoints: Int = 6,
    profile: EngineProfile = EngineProfile(),
): Workload {
    val random = Random(seed)
    val sample = List(SAMPLE_SIZE) { shape.program(random, it, Duration.ZERO) }
    val secondsPerProgram = sample.sumOf { it.engineSeconds(profile) } / SAMPLE_SIZE
    val rate = shape.load * endpoints / secondsPerProgram
    val programs = mutableListOf<ProgramPlan>()
    var at = Duration.ZERO
    while (at < shape.length) {
        val factor = shape.rateAt(at / shape.length)
        at += exponential(random, 1 / (rate * factor))
        programs += shape.program(random, programs.size, at)
    }
    return Workload(name, programs, endpoints, profile)
}

/** Engine time of a program in seconds, with full batches and a perfect cache. */
fun ProgramPlan.engineSeconds(profile: EngineProfile): Double {
    val perOutput = profile.stepBase / profile.maxBatch + profile.stepPerSequence
    val own = turns.fold(Duration.ZERO) { sum, turn ->
        sum + profile.prefillPerToken * turn.newTokens + perOutput * turn.outputTokens
    }
    return own / 1.seconds + turns.flatMap { it.subAgents }.sumOf { it.engineSeconds(profile) }
}

private fun ProgramShape.program(random: Random, index: Int, at: Duration): ProgramPlan {
    val account = ScopedName(organisation, pickAccount(random))
    val id = ProgramId(account, "p$index")
    val count = random.nextInt(turns)
    return ProgramPlan(
        id = id,
        arrivesAt = at,
        shared = "$organisation-system",
        sharedTokens = sharedTokens,
        turns = List(count) { turn ->
            val isParent = turn < count - 1 && random.nextDouble() < subAgentShare
            turn(random, isFirst = turn == 0).copy(
                subAgents = if (isParent) List(2) { subAgent(random, id, "$turn-$it") } else emptyList(),
            )
        },
    )
}

private fun ProgramShape.subAgent(random: Random, parent: ProgramId, name: String) = ProgramPlan(
    id = parent.copy(name = "${parent.name}/$name"),
    arrivesAt = Duration.ZERO,
    shared = "$organisation-system",
    sharedTokens = sharedTokens,
    turns = List(2) { turn(random, isFirst = it == 0) },
)

private fun ProgramShape.turn(random: Random, isFirst: Boolean): TurnPlan {
    val isUser = userShare > 0 && random.nextDouble() < userShare
    val turn = TurnPlan(
        newTokens = random.nextInt(if (isFirst) firstTokens else newTokens),
        outputTokens = random.nextInt(outputTokens),
        pauseAfter = exponential(random, meanPause / 1.seconds),
    )
    if (!isUser) return turn
    val span = userPause.endInclusive - userPause.start
    return turn.copy(pauseAfter = userPause.start + span * random.nextDouble(), pause = PauseKind.USER)
}

private fun ProgramShape.pickAccount(random: Random): String {
    val weights = accounts.indices.map(accountWeight)
    var rest = random.nextDouble() * weights.sum()
    val index = weights.indexOfFirst { weight ->
        rest -= weight
        rest < 0
    }
    return accounts[index.coerceAtLeast(0)]
}

private fun Random.nextInt(range: IntRange): Int = nextInt(range.first, range.last + 1)

private fun exponential(random: Random, meanSeconds: Double): Duration =
    (-ln(1 - random.nextDouble()) * meanSeconds).seconds

private const val SAMPLE_SIZE = 400
