package io.jasmineford.daemon.call

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.account
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.TurnTicket
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.control.Durability
import io.jasmineford.daemon.control.ShardKeeper
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
        val decision = withContext(control) { begin(call, target, chat) }
        when (decision) {
            null -> answer(call, target, chat, ticket = null)
            is TurnDecision.Refuse -> emitRefusal(decision.refusal)
            is TurnDecision.Replay -> emitRefusal(Refusal(Reason.WRONG_TURN, "the call ran before"))
            is TurnDecision.Run -> {
                val whole = chat.copy(messages = decision.messages + chat.messages)
                answer(call, target, whole, decision.ticket, newMessages = chat.messages)
            }
        }
    }

    private fun begin(call: Call, target: CallTarget, chat: ChatRequest): TurnDecision? {
        val program = target.program ?: return null
        val promptTokens = chat.messages.sumOf { it.content.length.toLong() } / CHARS_PER_TOKEN
        val request = TurnRequest(
            program = program,
            turn = call.header(CallHeaders.TURN)?.toIntOrNull(),
            historyDigest = call.header(CallHeaders.HISTORY_DIGEST),
            reservedTokens = promptTokens + (chat.maxTokens ?: DEFAULT_MAX_TOKENS),
            budget = configuration.current.account(call.account)?.budget ?: ProgramBudget(),
        )
        val decision = keeper.book.begin(request)
        // The commit of this turn comes later in the same journal, so waiting for it covers these records too.
        if (decision is TurnDecision.Run && !keeper.journal.journal.isFenced) {
            decision.records.forEach { keeper.journal.journal.append(it) }
        }
        return decision
    }

    private suspend fun FlowCollector<CallEvent>.answer(
        call: Call,
        target: CallTarget,
        chat: ChatRequest,
        ticket: TurnTicket?,
        newMessages: List<Message> = chat.messages,
    ) {
        var isSettled = ticket == null
        try {
            queue.withEndpoint(queuedCall(call, target, chat)) { endpoint ->
                if (endpoint == null) {
                    emitRefusal(Refusal(Reason.DEADLINE_EXCEEDED, "no endpoint was free before the deadline"))
                    return@withEndpoint
                }
                val answer = AnswerWriter(this, isStream = chat.stream, turn = ticket?.turn)
                val failure = stream(call, chat, endpoint, answer)
                isSettled = isSettled || failure == null
                finish(answer, failure, ticket, newMessages)
            }
        } finally {
            if (!isSettled && ticket != null) {
                withContext(NonCancellable + control) { keeper.book.release(ticket) }
            }
        }
    }

    private fun queuedCall(call: Call, target: CallTarget, chat: ChatRequest) = QueuedCall(
        id = 0,
        account = call.account,
        deployment = target.deployment,
        program = target.program,
        priority = target.route.priority,
        promptTokens = chat.messages.sumOf { it.content.length.toLong() } / CHARS_PER_TOKEN,
        submittedAt = clock.now(),
        deadline = call.deadline,
    )

    private suspend fun stream(call: Call, chat: ChatRequest, endpoint: Endpoint, answer: AnswerWriter): Refusal? {
        var failure: Refusal? = null
        val limit = call.deadline - clock.now()
        engines.stream(endpoint.address, chat.copy(user = call.header(CallHeaders.PROGRAM)), limit).collect { event ->
            when (event) {
                is EngineEvent.Text -> answer.text(event.content)
                is EngineEvent.Tokens -> answer.usage = event.usage
                is EngineEvent.Failed -> failure = failedRun(Reason.ENDPOINT_FAILED, event.problem)
                EngineEvent.Done -> Unit
            }
        }
        return failure
    }

    private suspend fun finish(
        answer: AnswerWriter,
        failure: Refusal?,
        ticket: TurnTicket?,
        newMessages: List<Message>,
    ) {
        val refusal = failure ?: ticket?.let { commit(it, newMessages, answer) }
        if (refusal == null) answer.end() else answer.fail(refusal)
    }

    private suspend fun commit(ticket: TurnTicket, newMessages: List<Message>, answer: AnswerWriter): Refusal? {
        val messages = newMessages + Message("assistant", answer.content)
        val usage = Usage(answer.usage.promptTokens, answer.usage.completionTokens, answer.usage.cachedTokens)
        val durability = withContext(NonCancellable + control) {
            if (keeper.journal.journal.isFenced) return@withContext Durability.FENCED
            val record = keeper.book.commit(ticket, messages, usage)
            answer.digest = record.digest
            keeper.journal.append(listOf(record), storePatience)
        }
        return when (durability) {
            Durability.DURABLE -> null

            Durability.FENCED -> failedRun(Reason.FENCED, "the answer is not part of the history")

            Durability.UNKNOWN -> Refusal(
                Reason.STORE_UNAVAILABLE,
                "the store did not confirm the turn in time",
                Outcome.OUTCOME_UNKNOWN,
            )
        }
    }

    private companion object {
        const val CHARS_PER_TOKEN = 4
        const val DEFAULT_MAX_TOKENS = 4_096
    }
}
