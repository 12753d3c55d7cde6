package io.jasmineford.daemon.call

import com.google.common.hash.Hashing
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.account
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.TurnTicket
import io.jasmineford.core.program.Usage
import io.jasmineford.core.program.engineCacheKey
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.control.Durability
import io.jasmineford.daemon.control.ShardDriver
import io.jasmineford.daemon.endpoint.EndpointLease
import io.jasmineford.daemon.endpoint.EndpointReply
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.withContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Runs model calls, which are turns of programs or single calls without a program. */
internal class ModelCalls(
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val shardDriver: ShardDriver,
    private val queue: EndpointQueue,
    private val engines: EngineClient,
    private val storeTimeout: Duration = 5.seconds,
) {
    /** Returns the whole answer to [call]. */
    fun run(call: Call, target: CallTarget, chat: ChatRequest): Flow<CallEvent> = flow {
        if (target.program == null) return@flow runTurn(Turn(call, target, chat, ticket = null))
        val request = turnRequest(call, target, chat)
        when (val decision = withContext(control) { shardDriver.begin(request) }) {
            null -> emitRefusal(Refusal(Reason.FENCED, SHARD_MOVED, retryAfter = RETRY_AFTER))
            is TurnDecision.Refuse -> emitRefusal(decision.refusal)
            is TurnDecision.Replay -> emitRefusal(Refusal(Reason.WRONG_TURN, "the call ran before"))
            is TurnDecision.ReplayTurn -> replay(chat, decision)
            is TurnDecision.Run -> {
                val withHistory = chat.copy(messages = decision.state.messages + chat.messages)
                runTurn(Turn(call, target, withHistory, decision.ticket, newMessages = chat.messages))
            }
        }
    }

    private fun turnRequest(call: Call, target: CallTarget, chat: ChatRequest) = TurnRequest(
        program = checkNotNull(target.program) { "expected a program, actual none" },
        turn = call.header(CallHeaders.TURN)?.toIntOrNull(),
        requestDigest = call.digest(),
        historyDigest = call.header(CallHeaders.HISTORY_DIGEST),
        newMessages = chat.messages,
        reservedTokens = promptTokens(chat) + (chat.maxTokens ?: DEFAULT_MAX_TOKENS),
        budget = configuration.current.account(call.account)?.budget ?: ProgramBudget(),
    )

    /** Repeats the stored answer once its turn is durable. */
    private suspend fun FlowCollector<CallEvent>.replay(chat: ChatRequest, decision: TurnDecision.ReplayTurn) {
        val answer = AnswerWriter(this, isStream = chat.stream, turn = decision.last.turn)
        val usage = decision.last.usage
        answer.digest = decision.digest
        answer.usage = ChatUsage(usage.prompt, usage.completion, usage.cached)
        val refusal = withContext(control) { shardDriver.journal.awaitAll(storeTimeout) }.toRefusal()
        if (refusal != null) return answer.fail(refusal)
        answer.append(decision.answer.content)
        answer.end()
    }

    private suspend fun FlowCollector<CallEvent>.runTurn(turn: Turn) {
        val answer = AnswerWriter(this, isStream = turn.chat.stream, turn = turn.ticket?.turn)
        var isDispatched = false
        try {
            queue.withEndpoint(queuedCall(turn), requestDigest(turn.chat)) { reply ->
                val lease = when (reply) {
                    is EndpointReply.Refused -> return@withEndpoint emitRefusal(reply.refusal)
                    is EndpointReply.Granted -> reply.lease
                }
                isDispatched = true
                val failure = stream(turn, lease, answer)
                if (lease.retryAfter != null) return@withEndpoint
                val refusal = failure ?: turn.ticket?.let { commit(turn, it, answer) }
                if (refusal == null) answer.end() else answer.fail(refusal)
            }
        } finally {
            turn.ticket?.let { ticket ->
                val used = if (isDispatched) usedTokens(turn, answer).coerceAtMost(ticket.reservedTokens) else null
                // Has no effect after a commit, which has already ended the ticket.
                withContext(NonCancellable + control) {
                    shardDriver.appendWithoutWaiting(shardDriver.registry.release(ticket, used))
                }
            }
        }
    }

    private fun queuedCall(turn: Turn) = QueuedCall(
        id = 0,
        account = turn.call.account,
        deployment = turn.target.deployment,
        program = turn.target.program,
        priority = turn.target.route.priority,
        promptTokens = promptTokens(turn.chat),
        submittedAt = clock.now(),
        deadline = turn.call.deadline,
    )

    private suspend fun stream(turn: Turn, lease: EndpointLease, answer: AnswerWriter): Refusal? {
        var failure: Refusal? = null
        val request = EngineCall(
            address = lease.endpoint.address,
            requestId = turn.call.requestId,
            chat = turn.chat.copy(user = turn.target.program?.engineCacheKey),
            deadline = turn.call.deadline,
        )
        engines.stream(request).collect { event ->
            when (event) {
                is EngineEvent.Text -> answer.append(event.content)
                is EngineEvent.Tokens -> answer.usage = event.usage
                is EngineEvent.Failed -> {
                    failure = failedRun(Reason.ENDPOINT_FAILED, event.problem)
                    lease.report(event, isUnanswered = clock.now() < turn.call.deadline && answer.content.isEmpty())
                }

                EngineEvent.Done -> lease.answered(answer.usage.toUsage())
            }
        }
        return failure
    }

    private suspend fun commit(turn: Turn, ticket: TurnTicket, answer: AnswerWriter): Refusal? {
        val messages = turn.newMessages + Message("assistant", answer.content)
        val usage = answer.usage.toUsage()
        return withContext(NonCancellable + control) {
            if (shardDriver.journal.journal.isFenced) return@withContext Durability.FENCED.toRefusal()
            if (!shardDriver.registry.isInFlight(ticket)) return@withContext Durability.FENCED.toRefusal()
            val record = shardDriver.registry.commit(ticket, messages, usage)
                ?: return@withContext failedRun(Reason.HISTORY_TOO_LARGE, "the answer makes the history too large")
            answer.digest = record.digest
            val isEnd = turn.call.header(CallHeaders.END) == "true"
            val closed = if (isEnd) shardDriver.registry.close(ticket.program) else null
            shardDriver.append(listOfNotNull(record, closed), storeTimeout).toRefusal()
        }
    }

    private fun usedTokens(turn: Turn, answer: AnswerWriter): Long {
        val reported = answer.usage.promptTokens + answer.usage.completionTokens
        return if (reported > 0) reported else promptTokens(turn.chat) + answer.content.length / CHARS_PER_TOKEN
    }

    private fun Durability.toRefusal(): Refusal? = when (this) {
        Durability.DURABLE -> null

        Durability.FENCED -> failedRun(Reason.FENCED, "the program's shard moved; the answer is not in its history")

        Durability.UNKNOWN -> Refusal(
            Reason.STORE_UNAVAILABLE,
            "the store did not confirm the turn in time",
            Outcome.OUTCOME_UNKNOWN,
        )
    }

    private fun promptTokens(chat: ChatRequest): Long = chat.messages.sumOf { it.content.length.toLong() } / CHARS_PER_TOKEN

    /** A turn in flight: [chat] holds the whole history, [newMessages] the messages that the request adds to it. */
    private class Turn(
        val call: Call,
        val target: CallTarget,
        val chat: ChatRequest,
        val ticket: TurnTicket?,
        val newMessages: List<Message> = chat.messages,
    )

    private companion object {
        const val SHARD_MOVED = "the program's shard moved to another VM"
        const val CHARS_PER_TOKEN = 4
        const val DEFAULT_MAX_TOKENS = 4_096
        val RETRY_AFTER = 1.seconds
    }
}

private fun ChatUsage.toUsage() = Usage(promptTokens, completionTokens, cachedTokens)

/**
 * Reports a failure of the engine.
 *
 * @param isUnanswered whether the deadline has not passed and no text of the answer has been sent to the caller. Only
 *   then may the call be retried and does a broken connection count as a crash. An answer with an error status never
 *   counts as one.
 */
private suspend fun EndpointLease.report(event: EngineEvent.Failed, isUnanswered: Boolean) {
    if (event.isRejected) return
    val kind = if (event.isSent) FailureKind.MAY_HAVE_RUN else FailureKind.NOT_RUN
    failed(kind, isCrash = isUnanswered || kind == FailureKind.NOT_RUN, isIdempotent = isUnanswered)
}

/** Digest of the request to the engine without its user, so that it is the same for every key and program. */
private fun requestDigest(chat: ChatRequest): String =
    Hashing.sha256().hashString(chatJson.encodeToString(chat.copy(user = null)), Charsets.UTF_8).toString()
