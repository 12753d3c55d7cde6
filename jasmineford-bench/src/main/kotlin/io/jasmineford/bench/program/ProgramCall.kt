package io.jasmineford.bench.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.program.EffectReply
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.TurnTicket
import io.jasmineford.core.program.Usage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a VM told a caller. [digest] is the digest of the history after a committed turn. */
internal data class CallAnswer(
    val outcome: Outcome,
    val reason: Reason? = null,
    val digest: String? = null,
    val text: String = "",
    val detail: String = "",
)

/** What happened at the endpoints, which no VM knows completely. */
internal class EndpointLog {
    /** Executions of calls that may not be repeated, by idempotency key. */
    val runs = HashMap<String, Int>()

    /** Attempts that reached an endpoint. */
    val ran = HashSet<Long>()

    /** Tokens used, by root program. */
    val tokens = HashMap<String, Long>()

    /** Reservations of calls that reached an endpoint and whose settlement did not become durable, by root program. */
    val unsettled = HashMap<String, Long>()

    /** Faults that a VM saw in the state that it was given. */
    val faults = ArrayList<String>()
}

/** Runs calls on a VM as the daemon's ModelCalls and ServiceCalls do, with endpoints that answer after a random time. */
internal class ProgramCall(private val log: EndpointLog, private val random: Random, private val failRate: Double) {
    /** Runs [request] as attempt [attempt] on [vm]; null answers mean that the VM does not keep the program. */
    fun run(vm: ProgramVm, attempt: Long, request: TurnRequest, answer: (CallAnswer?) -> Unit) {
        val shard = vm.shardOf(request.program)
        val keeping = vm.keeping
        if (!keeping.isServing(shard)) return answer(null)
        keeping.callBegan(shard)
        val end = { reply: CallAnswer? ->
            keeping.callEnded(shard)
            answer(reply)
        }
        when (val decision = keeping.begin(request)) {
            null -> end(null)

            is TurnDecision.Refuse -> end(decision.refusal.let { CallAnswer(it.outcome, it.reason, detail = it.detail) })

            is TurnDecision.Replay -> end(CallAnswer(checkNotNull(decision.effect.outcome), text = request.requestDigest))

            is TurnDecision.ReplayTurn -> whenDurable(vm) { isDurable ->
                end(if (isDurable) CallAnswer(Outcome.RESULT, digest = decision.digest, text = decision.answer.content) else UNKNOWN)
            }

            is TurnDecision.Run -> {
                checkHistory(request, decision)
                if (request.isIdempotent) {
                    runTurn(vm, attempt, request, decision.ticket, end)
                } else {
                    runOnce(vm, attempt, request, decision.ticket, end)
                }
            }
        }
    }

    private fun runTurn(vm: ProgramVm, attempt: Long, request: TurnRequest, ticket: TurnTicket, end: (CallAnswer?) -> Unit) {
        val began = vm.journal
        val used = use(request, attempt)
        vm.after(endpointTime()) {
            val isFailed = random.nextDouble() < failRate
            val answer = Message("assistant", "answer to ${request.requestDigest}")
            when {
                vm.journal !== began || began.isFenced -> end(FENCED)

                isFailed -> {
                    vm.book.release(ticket, used)?.let { began.append(it) }
                    settled(vm, request)
                    end(CallAnswer(Outcome.FAILED_RUN, Reason.ENDPOINT_FAILED))
                }

                else -> {
                    val record = vm.book.commit(ticket, request.newMessages + answer, Usage(used, 0))
                    if (record == null) return@after end(FENCED)
                    began.append(record)
                    settled(vm, request)
                    whenDurable(vm) { isDurable ->
                        end(if (isDurable) CallAnswer(Outcome.RESULT, digest = record.digest, text = answer.content) else UNKNOWN)
                    }
                }
            }
        }
    }

    private fun runOnce(vm: ProgramVm, attempt: Long, request: TurnRequest, ticket: TurnTicket, end: (CallAnswer?) -> Unit) {
        val began = vm.journal
        val startedAt = vm.clock.now()
        if (began.oldestPendingAge() > DISPATCH_WINDOW) {
            vm.book.release(ticket)
            return end(NOT_DURABLE)
        }
        began.append(vm.book.recordIntent(ticket) ?: return end(FENCED))
        var isTimely = true
        val refuse = {
            isTimely = false
            if (vm.journal === began && !began.isFenced) {
                vm.book.recordOutcome(ticket, Outcome.REFUSED_NOT_RUN, EffectReply(status = 503))?.let { began.append(it) }
            }
            end(NOT_DURABLE)
        }
        vm.after(DISPATCH_WINDOW) { if (isTimely && vm.book.isInFlight(ticket) && !isDispatched(attempt)) refuse() }
        vm.whenDurable { isDurable ->
            when {
                !isTimely -> Unit

                isDurable && vm.mayAct(request.program, began) && vm.clock.now() - startedAt < DISPATCH_WINDOW ->
                    dispatch(vm, attempt, request, ticket, end)

                else -> refuse()
            }
        }
    }

    private fun dispatch(vm: ProgramVm, attempt: Long, request: TurnRequest, ticket: TurnTicket, end: (CallAnswer?) -> Unit) {
        val began = vm.journal
        use(request, attempt)
        log.runs.merge(checkNotNull(request.idempotencyKey), 1, Int::plus)
        vm.after(endpointTime()) {
            val result = CallAnswer(Outcome.RESULT, text = request.requestDigest)
            val isHeld = vm.journal === began && !began.isFenced
            val record = if (isHeld) vm.book.recordOutcome(ticket, Outcome.RESULT, EffectReply(status = 200)) else null
            if (record == null) return@after end(result)
            began.append(record)
            settled(vm, request)
            whenDurable(vm) { end(result) }
        }
    }

    private fun isDispatched(attempt: Long) = attempt in log.ran

    private fun use(request: TurnRequest, attempt: Long): Long {
        val tree = request.program.toString()
        val used = if (request.isIdempotent) random.nextLong(request.reservedTokens) + 1 else 0
        log.ran += attempt
        log.tokens.merge(tree, used, Long::plus)
        log.unsettled.merge(tree, request.reservedTokens, Long::plus)
        return used
    }

    private fun settled(vm: ProgramVm, request: TurnRequest) = vm.whenDurable { isDurable ->
        if (isDurable) log.unsettled.merge(request.program.toString(), -request.reservedTokens, Long::plus)
    }

    /** Like [ProgramVm.whenDurable], but gives up after the daemon's patience. */
    private fun whenDurable(vm: ProgramVm, onEnd: (Boolean) -> Unit) {
        var isEnded = false
        val once = { isDurable: Boolean ->
            if (!isEnded) {
                isEnded = true
                onEnd(isDurable)
            }
        }
        vm.whenDurable(once)
        vm.after(PATIENCE) { once(false) }
    }

    /** Every message must belong to the request's own program, with its turns complete and in order. */
    private fun checkHistory(request: TurnRequest, decision: TurnDecision.Run) {
        val questions = decision.state.messages.filter { it.role == "user" }.map { it.content }
        val numbers = questions.map { it.substringAfterLast(' ').toInt() }
        val isOwn = decision.state.messages.all { "${request.program} turn" in it.content }
        if (!isOwn || numbers != numbers.sorted().distinct()) {
            log.faults += "expected only messages of ${request.program} in order, actual ${decision.state.messages}"
        }
    }

    private fun endpointTime(): Duration = random.nextInt(MIN_ENDPOINT_MS, MAX_ENDPOINT_MS).milliseconds

    private companion object {
        val DISPATCH_WINDOW = 2.seconds
        val PATIENCE = 3.seconds
        const val MIN_ENDPOINT_MS = 10
        const val MAX_ENDPOINT_MS = 200
        val FENCED = CallAnswer(Outcome.FAILED_RUN, Reason.FENCED)
        val UNKNOWN = CallAnswer(Outcome.OUTCOME_UNKNOWN, Reason.STORE_UNAVAILABLE)
        val NOT_DURABLE = CallAnswer(Outcome.REFUSED_NOT_RUN, Reason.STORE_UNAVAILABLE)
    }
}
