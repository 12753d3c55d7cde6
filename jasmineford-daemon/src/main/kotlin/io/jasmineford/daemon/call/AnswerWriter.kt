package io.jasmineford.daemon.call

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.program.Message
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.serialization.json.Json

/**
 * Writes the answer to a model call as server-sent events or as one JSON object. [end] writes the last event or the
 * whole object, so it is called only after the turn is durable.
 */
internal class AnswerWriter(
    private val events: FlowCollector<CallEvent>,
    private val isStream: Boolean,
    private val turn: Int?,
) {
    private val text = StringBuilder()
    private var isHeadSent = false

    /** Text of the answer so far. */
    val content: String get() = text.toString()

    /** Token counts of the call; zero until the engine reports them. */
    var usage: ChatUsage = ChatUsage()

    /** Digest of the history after this turn. */
    var digest: String? = null

    /** Appends [part] to the answer. */
    suspend fun append(part: String) {
        text.append(part)
        if (!isStream) return
        sendHead()
        sendData(ChatReply(choices = listOf(ChatChoice(delta = ChatDelta(part)))))
    }

    /** Ends the answer with outcome [Outcome.RESULT]. */
    suspend fun end() {
        if (isStream) {
            sendHead()
            sendData(ChatReply(usage = usage))
            sendOutcome(Outcome.RESULT, reason = null)
            events.emit(CallEvent.Data("data: [DONE]\n\n".toByteArray()))
        } else {
            events.emit(CallEvent.Head(OK, jsonHeaders()))
            val choice = ChatChoice(message = Message("assistant", content), finishReason = "stop")
            val reply = ChatReply(choices = listOf(choice), usage = usage)
            events.emit(CallEvent.Data(chatJson.encodeToString(reply).toByteArray()))
        }
        events.emit(CallEvent.End(Outcome.RESULT))
    }

    /**
     * Ends the answer with [refusal], as an event if a stream has already begun and as a whole problem answer
     * otherwise.
     */
    suspend fun fail(refusal: Refusal) {
        if (!isHeadSent) {
            refusal.toEvents().forEach { events.emit(it) }
            return
        }
        events.emit(refusal.toProblemEvent())
        sendOutcome(refusal.outcome, refusal.reason.label)
        events.emit(CallEvent.End(refusal.outcome, refusal.reason))
    }

    private suspend fun sendHead() {
        if (isHeadSent) return
        isHeadSent = true
        val headers = listOf(HeaderField("Content-Type", EVENT_STREAM), HeaderField("Cache-Control", "no-cache"))
        events.emit(CallEvent.Head(OK, headers + turnHeaders()))
    }

    private suspend fun sendData(reply: ChatReply) {
        events.emit(CallEvent.Data("data: ${chatJson.encodeToString(reply)}\n\n".toByteArray()))
    }

    private suspend fun sendOutcome(outcome: Outcome, reason: String?) {
        val fields = listOfNotNull(
            "\"outcome\":\"${outcome.label}\"",
            reason?.let { "\"reason\":\"$it\"" },
            turn?.let { "\"turn\":$it" },
            digest?.let { "\"historyDigest\":\"$it\"" },
        )
        events.emit(CallEvent.Data("event: outcome\ndata: {${fields.joinToString(",")}}\n\n".toByteArray()))
    }

    private fun jsonHeaders() = turnHeaders() + listOfNotNull(
        HeaderField("Content-Type", "application/json"),
        HeaderField(CallHeaders.OUTCOME, Outcome.RESULT.label),
        digest?.let { HeaderField(CallHeaders.HISTORY_DIGEST, it) },
    )

    private fun turnHeaders() = listOfNotNull(turn?.let { HeaderField(CallHeaders.TURN, it.toString()) })

    private companion object {
        const val OK = 200
    }
}

/**
 * Events that end an answer that began with [head] and can't be continued. Only an event stream can carry the outcome
 * in its body.
 */
internal fun Refusal.toTrailer(head: CallEvent.Head): List<CallEvent> {
    val isStream = head.headers.any { it.name.equals("Content-Type", ignoreCase = true) && it.value == EVENT_STREAM }
    val outcomeEvent = "event: outcome\ndata: {\"outcome\":\"${outcome.label}\",\"reason\":\"${reason.label}\"}\n\n"
    val events = if (isStream) listOf(toProblemEvent(), CallEvent.Data(outcomeEvent.toByteArray())) else emptyList()
    return events + CallEvent.End(outcome, reason)
}

private fun Refusal.toProblemEvent() =
    CallEvent.Data("event: problem\ndata: ${Json.encodeToString(toProblem())}\n\n".toByteArray())

private const val EVENT_STREAM = "text/event-stream"
