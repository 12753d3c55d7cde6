package io.jasmineford.daemon.call

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.account
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.program.Effect
import io.jasmineford.core.program.EffectReply
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.TurnTicket
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.control.Durability
import io.jasmineford.daemon.control.ShardDriver
import io.jasmineford.daemon.endpoint.EndpointLease
import io.jasmineford.daemon.endpoint.EndpointReply
import io.jasmineford.daemon.warnEvent
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Runs calls to services. A call that isn't idempotent first waits for an endpoint and then has its intent made
 * durable, so that time in the queue doesn't count against the dispatch window.
 *
 * @param dispatchWindow longest time from the start of the intent's write to the connection to the service. After it
 *   the call is refused as not run.
 * @param storeTimeout longest wait for the store to confirm an outcome.
 */
internal class ServiceCalls(
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val shardDriver: ShardDriver,
    private val queue: EndpointQueue,
    private val client: ServiceClient,
    private val dispatchWindow: Duration = 2.seconds,
    private val storeTimeout: Duration = 5.seconds,
) {
    /** Returns the whole answer to [call]. */
    fun run(call: Call, target: CallTarget): Flow<CallEvent> = flow {
        if (target.isIdempotent) {
            emitReply(withEndpoint(call, target) { client.send(it.address, call, target.servicePath, timeLeft(call)) })
        } else {
            runOnce(call, target)
        }
    }

    private suspend fun FlowCollector<CallEvent>.runOnce(call: Call, target: CallTarget) {
        val program = target.program ?: return emitRefusal(
            Refusal(Reason.IDEMPOTENCY_KEY_MISSING, "expected an ${CallHeaders.IDEMPOTENCY_KEY} header, actual none"),
        )
        val request = TurnRequest(
            program = program,
            turn = call.header(CallHeaders.TURN)?.toIntOrNull(),
            isIdempotent = false,
            idempotencyKey = call.header(CallHeaders.IDEMPOTENCY_KEY),
            requestDigest = call.digest(),
            historyDigest = call.header(CallHeaders.HISTORY_DIGEST),
            budget = configuration.current.account(call.account)?.budget ?: ProgramBudget(),
        )
        when (val decision = withContext(control) { shardDriver.begin(request) }) {
            null -> emitRefusal(Refusal(Reason.FENCED, SHARD_MOVED, retryAfter = RETRY_AFTER))
            is TurnDecision.Refuse -> emitRefusal(decision.refusal)
            is TurnDecision.Replay -> emitReply(decision.effect.toReply())
            is TurnDecision.ReplayTurn -> error("expected no model turn for a service call, actual ${decision.last.turn}")
            is TurnDecision.Run -> emitReply(runWithTicket(call, target, decision.ticket))
        }
    }

    private suspend fun runWithTicket(call: Call, target: CallTarget, ticket: TurnTicket): ServiceReply = try {
        withEndpoint(call, target) { endpoint ->
            // Once the intent is written, the call runs to its end and records its outcome even if the caller
            // disconnects.
            withContext(NonCancellable) { runDurably(call, target, ticket, endpoint) }
        }
    } finally {
        // Has no effect after an outcome was recorded, which has already ended the ticket.
        withContext(NonCancellable + control) { shardDriver.registry.release(ticket) }
    }

    private suspend fun runDurably(call: Call, target: CallTarget, ticket: TurnTicket, endpoint: Endpoint): ServiceReply {
        val startedAt = clock.now()
        val refusal = withContext(control) { recordIntent(ticket) }
        if (refusal != null) return ServiceReply.Refused(refusal)
        val isAllowed = withContext(control) {
            shardDriver.mayDispatch(ticket) && clock.now() - startedAt < dispatchWindow
        }
        val window = dispatchWindow - (clock.now() - startedAt)
        val reply = when {
            !isAllowed || window <= Duration.ZERO -> ServiceReply.Refused(notDurable("the intent was not durable in time"))
            else -> client.send(endpoint.address, call, target.servicePath, timeLeft(call), connectLimit = window)
        }
        return recordOutcome(call, ticket, reply)
    }

    /** Makes the intent durable. After a refusal, the call has not been and will not be sent. */
    private suspend fun recordIntent(ticket: TurnTicket): Refusal? {
        val journal = shardDriver.journal.journal
        if (journal.isFenced || !shardDriver.registry.isInFlight(ticket)) return notDurable(SHARD_MOVED)
        // A record has already waited longer than the dispatch window, so this intent would not be durable in time
        // either.
        if (journal.oldestPendingAge() > dispatchWindow) return notDurable("the store has not answered in time")
        val intent = shardDriver.registry.recordIntent(ticket) ?: return notDurable(SHARD_MOVED)
        val durability = shardDriver.append(listOf(intent), dispatchWindow)
        if (durability == Durability.DURABLE) return null
        val refusal = notDurable("the intent was not durable in time")
        // The intent may still become durable. This later record cancels it; a VM that replays only the intent answers
        // "outcome unknown" and never runs the call.
        val withdrawal = shardDriver.registry.recordOutcome(ticket, Outcome.REFUSED_NOT_RUN, refusal.toEffectReply())
        shardDriver.appendWithoutWaiting(withdrawal)
        return refusal
    }

    private suspend fun recordOutcome(
        call: Call,
        ticket: TurnTicket,
        reply: ServiceReply,
    ): ServiceReply = withContext(control) {
        val (outcome, kept) = when (reply) {
            is ServiceReply.Answered -> Outcome.RESULT to reply.toEffectReply()
            is ServiceReply.Refused -> reply.refusal.outcome to reply.refusal.toEffectReply()
        }
        if (shardDriver.journal.journal.isFenced) return@withContext reply.notDurable()
        val record = shardDriver.registry.recordOutcome(ticket, outcome, kept) ?: return@withContext reply.notDurable()
        val closed = if (call.header(CallHeaders.END) == "true") shardDriver.registry.close(ticket.program) else null
        val durability = shardDriver.append(listOfNotNull(record, closed), storeTimeout)
        if (durability == Durability.DURABLE) return@withContext reply
        log.warnEvent("outcome_not_durable", "program" to ticket.program, "durability" to durability)
        reply.notDurable()
    }

    private suspend fun withEndpoint(
        call: Call,
        target: CallTarget,
        send: suspend (Endpoint) -> ServiceReply,
    ): ServiceReply {
        val queued = QueuedCall(
            id = 0,
            account = call.account,
            deployment = target.deployment,
            program = target.program,
            priority = target.route.priority,
            submittedAt = clock.now(),
            deadline = call.deadline,
        )
        return queue.withEndpoint(queued) { granted ->
            when (granted) {
                is EndpointReply.Refused -> ServiceReply.Refused(granted.refusal)

                is EndpointReply.Granted -> send(granted.lease.endpoint).also {
                    val isInTime = timeLeft(call).isPositive()
                    if (it is ServiceReply.Answered) granted.lease.answered() else granted.lease.report(it, target.isIdempotent && isInTime)
                }
            }
        }
    }

    private suspend fun FlowCollector<CallEvent>.emitReply(reply: ServiceReply) = when (reply) {
        is ServiceReply.Refused -> emitRefusal(reply.refusal)

        is ServiceReply.Answered -> {
            val headers = listOfNotNull(
                HeaderField("Content-Type", reply.contentType),
                HeaderField(CallHeaders.OUTCOME, Outcome.RESULT.label),
                HeaderField(CallHeaders.DURABLE, "false").takeIf { !reply.isDurable },
            )
            emit(CallEvent.Head(reply.status, headers))
            emit(CallEvent.Data(reply.body))
            emit(CallEvent.End(Outcome.RESULT))
        }
    }

    private fun timeLeft(call: Call): Duration = call.deadline - clock.now()

    private fun notDurable(detail: String) = Refusal(Reason.STORE_UNAVAILABLE, detail, retryAfter = RETRY_AFTER)

    private companion object {
        const val SHARD_MOVED = "the program's shard moved to another VM"
        val log = KotlinLogging.logger {}
        val RETRY_AFTER = 1.seconds
    }
}

private fun ServiceReply.notDurable(): ServiceReply =
    if (this is ServiceReply.Answered) ServiceReply.Answered(status, contentType, body, isDurable = false) else this

private fun ServiceReply.Answered.toEffectReply(): EffectReply {
    val text = body.decodeToString()
    // The journal is JSON text, so it can't hold a body that isn't valid UTF-8.
    val isText = text.encodeToByteArray().contentEquals(body)
    return EffectReply(status, contentType, if (isText) text else "", isBodyKept = isText)
}

private fun Refusal.toEffectReply() = EffectReply(reason.status, body = detail, reason = reason)

private fun Effect.toReply(): ServiceReply {
    val kept = reply
    val knownOutcome = outcome ?: Outcome.OUTCOME_UNKNOWN
    return when {
        kept == null -> ServiceReply.Refused(
            Refusal(Reason.INTENT_UNRESOLVED, "the outcome of the earlier attempt is not known", knownOutcome),
        )

        knownOutcome != Outcome.RESULT -> ServiceReply.Refused(
            Refusal(kept.reason ?: Reason.ENDPOINT_FAILED, kept.body, knownOutcome),
        )

        !kept.isBodyKept -> ServiceReply.Refused(
            Refusal(Reason.ANSWER_NOT_KEPT, "the call ran and was answered with status ${kept.status}", Outcome.RESULT),
        )

        else -> ServiceReply.Answered(kept.status, kept.contentType, kept.body.encodeToByteArray())
    }
}

/**
 * Reports a failure of the service. Without an answer the service may have run the call, unless the refusal says
 * otherwise.
 */
private suspend fun EndpointLease.report(reply: ServiceReply, isIdempotent: Boolean) {
    if (reply !is ServiceReply.Refused || reply.refusal.reason != Reason.ENDPOINT_FAILED) return
    val isNotRun = reply.refusal.outcome == Outcome.REFUSED_NOT_RUN
    val kind = if (isNotRun) FailureKind.NOT_RUN else FailureKind.MAY_HAVE_RUN
    // A call that isn't idempotent runs at most once, so it is not retried after it may have run.
    failed(kind, isCrash = true, isIdempotent = isIdempotent)
}
