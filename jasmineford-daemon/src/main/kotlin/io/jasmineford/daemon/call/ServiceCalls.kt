package io.jasmineford.daemon.call

import com.google.common.hash.Hashing
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.account
import io.jasmineford.core.program.Effect
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.TurnTicket
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.control.Durability
import io.jasmineford.daemon.control.ShardKeeper
import io.jasmineford.daemon.warnEvent
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs calls of plain services. A call that may not be repeated is made durable before it is dispatched. */
internal class ServiceCalls(
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val keeper: ShardKeeper,
    private val queue: EndpointQueue,
    private val client: ServiceClient,
    private val dispatchWindow: Duration = 2.seconds,
    private val storePatience: Duration = 5.seconds,
) {
    /** The whole answer to [call]. */
    fun run(call: Call, target: CallTarget): Flow<CallEvent> = flow {
        if (target.isIdempotent) {
            emitReply(dispatch(call, target))
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
            requestDigest = digestOf(call),
            budget = configuration.current.account(call.account)?.budget ?: ProgramBudget(),
        )
        val startedAt = clock.now()
        when (val decision = withContext(control) { keeper.book.begin(request) }) {
            is TurnDecision.Refuse -> emitRefusal(decision.refusal)
            is TurnDecision.Replay -> emitReply(decision.effect.toReply())
            is TurnDecision.Run -> emitReply(runDurably(call, target, decision, startedAt))
        }
    }

    private suspend fun runDurably(
        call: Call,
        target: CallTarget,
        decision: TurnDecision.Run,
        startedAt: Duration,
    ): ServiceReply = withContext(NonCancellable) {
        val durability = withContext(control) { keeper.journal.append(decision.records, dispatchWindow) }
        val isInTime = clock.now() - startedAt < dispatchWindow
        val reply = when {
            durability == Durability.DURABLE && isInTime -> dispatch(call, target)
            else -> ServiceReply.Refused(Refusal(Reason.STORE_UNAVAILABLE, "the intent was not durable in time"))
        }
        settle(decision.ticket, reply)
    }

    private suspend fun settle(ticket: TurnTicket, reply: ServiceReply): ServiceReply = withContext(control) {
        if (keeper.journal.journal.isFenced) return@withContext reply
        val record = when (reply) {
            is ServiceReply.Answered ->
                keeper.book.recordOutcome(ticket, Outcome.RESULT, reply.status, reply.body.decodeToString())

            is ServiceReply.Refused ->
                keeper.book.recordOutcome(ticket, reply.refusal.outcome, reply.refusal.reason.status, reply.refusal.detail)
        }
        val durability = keeper.journal.append(listOf(record), storePatience)
        if (durability == Durability.UNKNOWN) log.warnEvent("outcome_not_durable", "program" to ticket.program)
        reply
    }

    private suspend fun dispatch(call: Call, target: CallTarget): ServiceReply {
        val queued = QueuedCall(
            id = 0,
            account = call.account,
            deployment = target.deployment,
            program = target.program,
            priority = target.route.priority,
            submittedAt = clock.now(),
            deadline = call.deadline,
        )
        return queue.withEndpoint(queued) { endpoint ->
            if (endpoint == null) {
                ServiceReply.Refused(Refusal(Reason.DEADLINE_EXCEEDED, "no endpoint was free before the deadline"))
            } else {
                client.send(endpoint.address, call, target.servicePath, call.deadline - clock.now())
            }
        }
    }

    private suspend fun FlowCollector<CallEvent>.emitReply(reply: ServiceReply) = when (reply) {
        is ServiceReply.Refused -> emitRefusal(reply.refusal)

        is ServiceReply.Answered -> {
            val headers = listOf(
                HeaderField("Content-Type", reply.contentType),
                HeaderField(CallHeaders.OUTCOME, Outcome.RESULT.label),
            )
            emit(CallEvent.Head(reply.status, headers))
            emit(CallEvent.Data(reply.body))
            emit(CallEvent.End(Outcome.RESULT))
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}

private fun digestOf(call: Call): String = Hashing.sha256().newHasher()
        .putUnencodedChars(call.method).putUnencodedChars(" ").putUnencodedChars(call.path).putUnencodedChars("\n")
        .putBytes(call.body)
        .hash().toString()

private fun Effect.toReply(): ServiceReply {
    if (outcome == Outcome.RESULT) return ServiceReply.Answered(status, "application/json", body.toByteArray())
    val reason = Reason.entries.firstOrNull { it.status == status } ?: Reason.ENDPOINT_FAILED
    return ServiceReply.Refused(Refusal(reason, body, outcome ?: Outcome.OUTCOME_UNKNOWN))
}
