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

/** Answer of a VM to a caller. [digest] is the digest of the history after a committed turn. */
internal data class CallAnswer(
    val outcome: Outcome,
    val reason: Reason? = null,
    val digest: String? = null,
    val text: String = "",
    val detail: String = "",
)

/** Record of what the endpoints executed, against which the answers of the VMs are checked. */
internal class EndpointLog {
    /** Numbers of executions of non-idempotent calls by idempotency key. */
    val executions = HashMap<String, Int>()

    /** Ids of attempts that reached an endpoint. */
    val executedAttempts = HashSet<Long>()

    /** Used tokens by root program. */
    val tokens = HashMap<String, Long>()

    /** Reserved tokens of calls that reached an endpoint and whose use is not durable, by root program. */
    val unsettled = HashMap<String, Long>()

    /** Violations found in the program state that a VM loaded. */
    val violations = ArrayList<String>()
}

/** Runs calls on a VM as the daemon does, with simulated endpoints that answer after a random time. */
internal class ProgramCall(private val log: EndpointLog, private val random: Random, private val failRate: Double) {
    /** Runs [request] as [attempt] on [vm]. A null answer means that the VM does not own the program. */
    fun run(vm: ProgramVm, attempt: Long, request: TurnRequest, answer: (CallAnswer?) -> Unit) {
        val shard = vm.shardOf(request.program)
        val lifecycle = vm.lifecycle
        if (!lifecycle.isServing(shard)) return answer(null)
        lifecycle.callBegan(shard)
        val reply = { result: CallAnswer? ->
            lifecycle.callEnded(shard)
            answer(result)
        }
        when (val decision = lifecycle.begin(request)) {
            null -> reply(null)

            is TurnDecision.Refuse -> reply(decision.refusal.let { CallAnswer(it.outcome, it.reason, detail = it.detail) })

            is TurnDecision.Replay -> reply(CallAnswer(checkNotNull(decision.effect.outcome), text = request.requestDigest))

            is TurnDecision.ReplayTurn -> whenDurable(vm) { isDurable ->
                reply(if (isDurable) CallAnswer(Outcome.RESULT, digest = decision.digest, text = decision.answer.content) else UNKNOWN)
            }

            is TurnDecision.Run -> {
                checkHistory(request, decision)
                if (request.isIdempotent) {
                    runTurn(vm, attempt, request, decision.ticket, reply)
                } else {
                    runOnce(vm, attempt, request, decision.ticket, reply)
                }
            }
        }
    }

    private fun runTurn(vm: ProgramVm, attempt: Long, request: TurnRequest, ticket: TurnTicket, reply: (CallAnswer?) -> Unit) {
        val startJournal = vm.journal
        val used = recordUse(request, attempt)
        vm.after(endpointTime()) {
            val isFailed = random.nextDouble() < failRate
            val answer = Message("assistant", "answer to ${request.requestDigest}")
            when {
                vm.journal !== startJournal || startJournal.isFenced -> reply(FENCED)

                isFailed -> {
                    vm.registry.release(ticket, used)?.let { startJournal.append(it) }
                    recordSettlement(vm, request)
                    reply(CallAnswer(Outcome.FAILED_RUN, Reason.ENDPOINT_FAILED))
                }

                else -> {
                    val record = vm.registry.commit(ticket, request.newMessages + answer, Usage(used, 0))
                    if (record == null) return@after reply(FENCED)
                    startJournal.append(record)
                    recordSettlement(vm, request)
                    whenDurable(vm) { isDurable ->
                        reply(if (isDurable) CallAnswer(Outcome.RESULT, digest = record.digest, text = answer.content) else UNKNOWN)
                    }
                }
            }
        }
    }

    private fun runOnce(vm: ProgramVm, attempt: Long, request: TurnRequest, ticket: TurnTicket, reply: (CallAnswer?) -> Unit) {
        val startJournal = vm.journal
        val startedAt = vm.clock.now()
        if (startJournal.oldestPendingAge() > DISPATCH_WINDOW) {
            vm.registry.release(ticket)
            return reply(NOT_DURABLE)
        }
        startJournal.append(vm.registry.recordIntent(ticket) ?: return reply(FENCED))
        var isTimely = true
        val refuse = {
            isTimely = false
            if (vm.journal === startJournal && !startJournal.isFenced) {
                vm.registry.recordOutcome(ticket, Outcome.REFUSED_NOT_RUN, EffectReply(status = 503))
                    ?.let { startJournal.append(it) }
            }
            reply(NOT_DURABLE)
        }
        vm.after(DISPATCH_WINDOW) { if (isTimely && vm.registry.isInFlight(ticket) && !isDispatched(attempt)) refuse() }
        vm.whenDurable { isDurable ->
            when {
                !isTimely -> Unit

                isDurable && vm.isActiveOwner(request.program, startJournal) &&
                    vm.clock.now() - startedAt < DISPATCH_WINDOW ->
                    dispatch(vm, attempt, request, ticket, reply)

                else -> refuse()
            }
        }
    }

    private fun dispatch(vm: ProgramVm, attempt: Long, request: TurnRequest, ticket: TurnTicket, reply: (CallAnswer?) -> Unit) {
        val startJournal = vm.journal
        recordUse(request, attempt)
        log.executions.merge(checkNotNull(request.idempotencyKey), 1, Int::plus)
        vm.after(endpointTime()) {
            val result = CallAnswer(Outcome.RESULT, text = request.requestDigest)
            val isOwned = vm.journal === startJournal && !startJournal.isFenced
            val record =
                if (isOwned) vm.registry.recordOutcome(ticket, Outcome.RESULT, EffectReply(status = 200)) else null
            if (record == null) return@after reply(result)
            startJournal.append(record)
            recordSettlement(vm, request)
            whenDurable(vm) { reply(result) }
        }
    }

    private fun isDispatched(attempt: Long) = attempt in log.executedAttempts

    private fun recordUse(request: TurnRequest, attempt: Long): Long {
        val tree = request.program.toString()
        val used = if (request.isIdempotent) random.nextLong(request.reservedTokens) + 1 else 0
        log.executedAttempts += attempt
        log.tokens.merge(tree, used, Long::plus)
        log.unsettled.merge(tree, request.reservedTokens, Long::plus)
        return used
    }

    private fun recordSettlement(vm: ProgramVm, request: TurnRequest) = vm.whenDurable { isDurable ->
        if (isDurable) log.unsettled.merge(request.program.toString(), -request.reservedTokens, Long::plus)
    }

    /** Like [ProgramVm.whenDurable], but reports false after the daemon's time-out. */
    private fun whenDurable(vm: ProgramVm, onEnd: (Boolean) -> Unit) {
        var isEnded = false
        val once = { isDurable: Boolean ->
            if (!isEnded) {
                isEnded = true
                onEnd(isDurable)
            }
        }
        vm.whenDurable(once)
        vm.after(DURABILITY_TIMEOUT) { once(false) }
    }

    /** Checks that the history has only messages of the request's program, in order and without duplicates. */
    private fun checkHistory(request: TurnRequest, decision: TurnDecision.Run) {
        val questions = decision.state.messages.filter { it.role == "user" }.map { it.content }
        val numbers = questions.map { it.substringAfterLast(' ').toInt() }
        val isOwn = decision.state.messages.all { "${request.program} turn" in it.content }
        if (!isOwn || numbers != numbers.sorted().distinct()) {
            log.violations += "expected only messages of ${request.program} in order, actual ${decision.state.messages}"
        }
    }

    private fun endpointTime(): Duration = random.nextInt(MIN_ENDPOINT_MS, MAX_ENDPOINT_MS).milliseconds

    private companion object {
        val DISPATCH_WINDOW = 2.seconds
        val DURABILITY_TIMEOUT = 3.seconds
        const val MIN_ENDPOINT_MS = 10
        const val MAX_ENDPOINT_MS = 200
        val FENCED = CallAnswer(Outcome.FAILED_RUN, Reason.FENCED)
        val UNKNOWN = CallAnswer(Outcome.OUTCOME_UNKNOWN, Reason.STORE_UNAVAILABLE)
        val NOT_DURABLE = CallAnswer(Outcome.REFUSED_NOT_RUN, Reason.STORE_UNAVAILABLE)
    }
}
