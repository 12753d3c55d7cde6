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
import io.jasmineford.daemon.control.ShardKeeper
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

/** Runs model calls: turns of programs, and single calls without a program. */
internal class ModelCalls(
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val keeper: ShardKeeper,
    private val queue: EndpointQueue,
    private val engines: EngineClient,
    private val storePatience: Duration = 5.seconds,
) {
    /** The whole answer to [call]. */
    fun run(call: Call, target: CallTarget, chat: ChatRequest): Flow<CallEvent> = flow {
        if (target.program == null) return@flow answer(Turn(call, target, chat, ticket = null))
        val request = turnRequest(call, target, chat)
        when (val decision = withContext(control) { keeper.begin(request) }) {
            null -> emitRefusal(Refusal(Reason.FENCED, "the program moved to another VM", retryAfter = RETRY_AFTER))
            is TurnDecision.Refuse -> emitRefusal(decision.refusal)
            is TurnDecision.Replay -> emitRefusal(Refusal(Reason.WRONG_TURN, "the call ran before"))
            is TurnDecision.ReplayTurn -> replay(chat, decision)
            is TurnDecision.Run -> {
                val whole = chat.copy(messages = decision.state.messages + chat.messages)
                answer(Turn(call, target, whole, decision.ticket, newMessages = chat.messages))
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

    /** Gives the stored answer again. The turn may still wait for the store. */
    private suspend fun FlowCollector<CallEvent>.replay(chat: ChatRequest, decision: TurnDecision.ReplayTurn) {
        val answer = AnswerWriter(this, isStream = chat.stream, turn = decision.last.turn)
        val usage = decision.last.usage
        answer.digest = decision.digest
        answer.usage = ChatUsage(usage.prompt, usage.completion, usage.cached)
        val refusal = withContext(control) { keeper.journal.awaitAll(storePatience) }.toRefusal()
        if (refusal != null) return answer.fail(refusal)
        answer.text(decision.answer.content)
        answer.end()
    }

    private suspend fun FlowCollector<CallEvent>.answer(turn: Turn) {
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
                // Does nothing after a commit, since the ticket is no longer in flight then.
                withContext(NonCancellable + control) { keeper.note(keeper.book.release(ticket, used)) }
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
                is EngineEvent.Text -> answer.text(event.content)
                is EngineEvent.Tokens -> answer.usage = event.usage
                is EngineEvent.Failed -> {
                    failure = failedRun(Reason.ENDPOINT_FAILED, event.problem)
                    lease.report(event, isOpen = clock.now() < turn.call.deadline && answer.content.isEmpty())
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
            if (keeper.journal.journal.isFenced) return@withContext Durability.FENCED.toRefusal()
            if (!keeper.book.isInFlight(ticket)) return@withContext Durability.FENCED.toRefusal()
            val record = keeper.book.commit(ticket, messages, usage)
                ?: return@withContext failedRun(Reason.HISTORY_TOO_LARGE, "the answer is too large to keep")
            answer.digest = record.digest
            val closed = if (turn.call.header(CallHeaders.END) == "true") keeper.book.close(ticket.program) else null
            keeper.append(listOfNotNull(record, closed), storePatience).toRefusal()
        }
    }

    private fun usedTokens(turn: Turn, answer: AnswerWriter): Long {
        val reported = answer.usage.promptTokens + answer.usage.completionTokens
        return if (reported > 0) reported else promptTokens(turn.chat) + answer.content.length / CHARS_PER_TOKEN
    }

    private fun Durability.toRefusal(): Refusal? = when (this) {
        Durability.DURABLE -> null

        Durability.FENCED -> failedRun(Reason.FENCED, "the answer is not part of the history")

        Durability.UNKNOWN -> Refusal(
            Reason.STORE_UNAVAILABLE,
            "the store did not confirm the turn in time",
            Outcome.OUTCOME_UNKNOWN,
        )
    }

    private fun promptTokens(chat: ChatRequest): Long = chat.messages.sumOf { it.content.length.toLong() } / CHARS_PER_TOKEN

    /** One turn on its way: [chat] holds the whole history, [newMessages] what the request adds. */
    private class Turn(
        val call: Call,
        val target: CallTarget,
        val chat: ChatRequest,
        val ticket: TurnTicket?,
        val newMessages: List<Message> = chat.messages,
    )

    private companion object {
        const val CHARS_PER_TOKEN = 4
        const val DEFAULT_MAX_TOKENS = 4_096
        val RETRY_AFTER = 1.seconds
    }
}

private fun ChatUsage.toUsage() = Usage(promptTokens, completionTokens, cachedTokens)

/** An answer with an error status is no crash. A call is tried again only while nothing of its answer went out. */
private suspend fun EndpointLease.report(event: EngineEvent.Failed, isOpen: Boolean) {
    if (event.isRejected) return
    val kind = if (event.isSent) FailureKind.MAY_HAVE_RUN else FailureKind.NOT_RUN
    failed(kind, isCrash = isOpen || kind == FailureKind.NOT_RUN, isIdempotent = isOpen)
}

/** Digest of what the engine computes, the same for every key and program that sends it. */
private fun requestDigest(chat: ChatRequest): String =
    Hashing.sha256().hashString(chatJson.encodeToString(chat.copy(user = null)), Charsets.UTF_8).toString()
