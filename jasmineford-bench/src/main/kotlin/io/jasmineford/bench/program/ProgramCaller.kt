package io.jasmineford.bench.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.TurnRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Caller of one program: sends its turns in order, repeats each turn until it is answered, and checks the answers.
 *
 * Messages to VMs may be delayed and duplicated, and answers may be lost. Every third turn is a non-idempotent call.
 */
internal class ProgramCaller(
    private val loop: EventLoop,
    private val random: Random,
    private val program: ProgramId,
    private val turns: Int,
    private val budget: ProgramBudget,
    private val send: (attempt: Long, TurnRequest, (CallAnswer?) -> Unit) -> Unit,
    private val nextAttempt: () -> Long,
    private val log: EndpointLog,
) {
    private var turn = 1
    private var digest: String? = null
    private var current = 0L
    private val startedAt = HashMap<Int, Duration>()

    /** Numbers of received answers by outcome. */
    val outcomes = HashMap<Outcome, Int>()

    /** Time from the first attempt of each turn to its answer. */
    val latencies = ArrayList<Duration>()

    /** Violated guarantees. */
    val faults = ArrayList<String>()

    /** True when all turns are answered or the budget of the program is used up. */
    var isDone = false
        private set

    /** Sends the next attempt of the current turn. */
    fun start() {
        if (isDone) return
        val attempt = nextAttempt()
        current = attempt
        startedAt.getOrPut(turn) { loop.clock.now() }
        val request = request()
        val copies = if (random.nextDouble() < DUPLICATE_RATE) 2 else 1
        repeat(copies) {
            val id = if (it == 0) attempt else nextAttempt()
            val travel = random.nextInt(1, if (random.nextDouble() < LATE_RATE) LATE_MS else PROMPT_MS).milliseconds
            loop.after(travel) { send(id, request) { answer -> loop.after(REPLY_TIME) { take(id, request, answer) } } }
        }
        loop.after(PATIENCE) { if (current == attempt) start() }
    }

    private fun request(): TurnRequest {
        val isIdempotent = turn % EFFECT_EVERY != 0
        val text = "$program turn $turn"
        return TurnRequest(
            program = program,
            turn = turn,
            isIdempotent = isIdempotent,
            idempotencyKey = if (isIdempotent) null else text,
            requestDigest = text,
            historyDigest = digest,
            newMessages = if (isIdempotent) listOf(Message("user", text)) else emptyList(),
            reservedTokens = if (isIdempotent) RESERVED_TOKENS else 0,
            budget = budget,
        )
    }

    private fun take(attempt: Long, request: TurnRequest, answer: CallAnswer?) {
        if (answer != null) check(attempt, request, answer)
        if (request.turn != turn || isDone) return
        val isLost = random.nextDouble() < LOST_REPLY_RATE
        val isNews = answer != null && !isLost
        if (isNews) outcomes.merge(checkNotNull(answer).outcome, 1, Int::plus)
        when {
            isNews && answer?.outcome == Outcome.RESULT -> {
                digest = answer.digest ?: digest
                advance()
            }

            isNews && answer?.reason in BUDGETS -> isDone = true

            // The recorded intent used up the turn number, so the program continues with the next turn.
            isNews && !request.isIdempotent && answer?.isUnknownForGood() == true -> advance()

            attempt == current -> {
                current = 0
                loop.after(random.nextInt(MIN_RETRY_MS, MAX_RETRY_MS).milliseconds) { if (current == 0L) start() }
            }
        }
    }

    private fun advance() {
        latencies += loop.clock.now() - startedAt.getValue(turn)
        turn++
        isDone = turn > turns
        current = 0
        if (!isDone) loop.after(random.nextInt(1, MAX_PAUSE_MS).milliseconds) { if (current == 0L) start() }
    }

    private fun check(attempt: Long, request: TurnRequest, answer: CallAnswer) {
        val isCurrent = request.turn == turn && !isDone
        if (answer.outcome == Outcome.REFUSED_NOT_RUN && attempt in log.ran) {
            faults += "$program attempt $attempt ran, expected no answer that says not run, actual $answer"
        }
        if (isCurrent && answer.reason in LOST_STATE) {
            faults += "$program turn $turn: expected the acknowledged history, actual $answer"
        }
        if (answer.outcome == Outcome.RESULT && !answer.text.endsWith(request.requestDigest)) {
            faults += "$program turn ${request.turn}: expected the answer to its own request, actual ${answer.text}"
        }
    }

    private fun CallAnswer.isUnknownForGood() = outcome == Outcome.OUTCOME_UNKNOWN && reason == Reason.INTENT_UNRESOLVED

    private companion object {
        val LOST_STATE = setOf(Reason.WRONG_TURN, Reason.UNKNOWN_PROGRAM, Reason.HISTORY_MISMATCH, Reason.IDEMPOTENCY_KEY_REUSED)
        val BUDGETS = setOf(Reason.BUDGET_CALLS, Reason.BUDGET_TOKENS, Reason.BUDGET_TIME)
        val PATIENCE = 4.seconds
        val REPLY_TIME = 2.milliseconds
        const val EFFECT_EVERY = 3
        const val RESERVED_TOKENS = 100L
        const val DUPLICATE_RATE = 0.1
        const val LATE_RATE = 0.05
        const val LATE_MS = 3_000
        const val PROMPT_MS = 5
        const val LOST_REPLY_RATE = 0.05
        const val MIN_RETRY_MS = 20
        const val MAX_RETRY_MS = 100
        const val MAX_PAUSE_MS = 150
    }
}
