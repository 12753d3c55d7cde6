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
    private var currentAttempt = 0L
    private val startedAt = HashMap<Int, Duration>()

    /** Numbers of received answers by outcome. */
    val outcomes = HashMap<Outcome, Int>()

    /** Time from the first attempt of each turn to its answer. */
    val latencies = ArrayList<Duration>()

    /** Violated guarantees. */
    val violations = ArrayList<String>()

    /** True when all turns are answered or the budget of the program is used up. */
    var isDone = false
        private set

    /** Sends the next attempt of the current turn. */
    fun start() {
        if (isDone) return
        val attempt = nextAttempt()
        currentAttempt = attempt
        startedAt.getOrPut(turn) { loop.clock.now() }
        val request = request()
        val copies = if (random.nextDouble() < DUPLICATE_RATE) 2 else 1
        repeat(copies) {
            val id = if (it == 0) attempt else nextAttempt()
            val maxDelay = if (random.nextDouble() < LATE_RATE) MAX_LATE_DELAY_MS else MAX_NORMAL_DELAY_MS
            val delay = random.nextInt(1, maxDelay).milliseconds
            loop.after(delay) {
                send(id, request) { answer -> loop.after(REPLY_TIME) { onAnswer(id, request, answer) } }
            }
        }
        loop.after(ANSWER_TIMEOUT) { if (currentAttempt == attempt) start() }
    }

    private fun request(): TurnRequest {
        val isIdempotent = turn % EFFECT_INTERVAL != 0
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

    private fun onAnswer(attempt: Long, request: TurnRequest, answer: CallAnswer?) {
        if (answer != null) checkAnswer(attempt, request, answer)
        if (request.turn != turn || isDone) return
        val isLost = random.nextDouble() < LOST_REPLY_RATE
        val isReceived = answer != null && !isLost
        if (isReceived) outcomes.merge(checkNotNull(answer).outcome, 1, Int::plus)
        when {
            isReceived && answer?.outcome == Outcome.RESULT -> {
                digest = answer.digest ?: digest
                advance()
            }

            isReceived && answer?.reason in BUDGET_REASONS -> isDone = true

            // The recorded intent used up the turn number, so the program continues with the next turn.
            isReceived && !request.isIdempotent && answer?.isPermanentlyUnknown() == true -> advance()

            attempt == currentAttempt -> {
                currentAttempt = 0
                val wait = random.nextInt(MIN_RETRY_MS, MAX_RETRY_MS).milliseconds
                loop.after(wait) { if (currentAttempt == 0L) start() }
            }
        }
    }

    private fun advance() {
        latencies += loop.clock.now() - startedAt.getValue(turn)
        turn++
        isDone = turn > turns
        currentAttempt = 0
        if (!isDone) loop.after(random.nextInt(1, MAX_PAUSE_MS).milliseconds) { if (currentAttempt == 0L) start() }
    }

    private fun checkAnswer(attempt: Long, request: TurnRequest, answer: CallAnswer) {
        val isCurrent = request.turn == turn && !isDone
        if (answer.outcome == Outcome.REFUSED_NOT_RUN && attempt in log.executedAttempts) {
            violations += "$program attempt $attempt ran, expected no answer that says not run, actual $answer"
        }
        if (isCurrent && answer.reason in LOST_STATE_REASONS) {
            violations += "$program turn $turn: expected the acknowledged history, actual $answer"
        }
        if (answer.outcome == Outcome.RESULT && !answer.text.endsWith(request.requestDigest)) {
            violations += "$program turn ${request.turn}: expected the answer to its own request, actual ${answer.text}"
        }
    }

    private fun CallAnswer.isPermanentlyUnknown() =
        outcome == Outcome.OUTCOME_UNKNOWN && reason == Reason.INTENT_UNRESOLVED

    private companion object {
        val LOST_STATE_REASONS = setOf(Reason.WRONG_TURN, Reason.UNKNOWN_PROGRAM, Reason.HISTORY_MISMATCH, Reason.IDEMPOTENCY_KEY_REUSED)
        val BUDGET_REASONS = setOf(Reason.BUDGET_CALLS, Reason.BUDGET_TOKENS, Reason.BUDGET_TIME)
        val ANSWER_TIMEOUT = 4.seconds
        val REPLY_TIME = 2.milliseconds
        const val EFFECT_INTERVAL = 3
        const val RESERVED_TOKENS = 100L
        const val DUPLICATE_RATE = 0.1
        const val LATE_RATE = 0.05
        const val MAX_LATE_DELAY_MS = 3_000
        const val MAX_NORMAL_DELAY_MS = 5
        const val LOST_REPLY_RATE = 0.05
        const val MIN_RETRY_MS = 20
        const val MAX_RETRY_MS = 100
        const val MAX_PAUSE_MS = 150
    }
}
