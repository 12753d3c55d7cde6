package io.jasmineford.daemon.call

/**
 * Parser of one engine answer, which may arrive over several connections.
 *
 * Events have consecutive ids from 0. An id that was already seen is a duplicate and is skipped. A gap makes the answer
 * unusable, since text is missing. Each event repeats the id of the request; a different id means that the engine mixed
 * up two answers.
 */
internal class EngineAnswer(private val requestId: String) {
    private var eventId: Int? = null

    /** Id of the last accepted event; -1 before the first. */
    var lastEvent: Int = -1
        private set

    /** Whether the last event has arrived. */
    var isDone: Boolean = false
        private set

    /** Whether the answer is unusable, so that resuming the stream can't help. */
    var isBroken: Boolean = false

    /** Why the answer ended early. */
    var problem: String = ""

    /** Parses one line of the event stream and returns the events that it completes. */
    fun accept(line: String): List<EngineEvent> {
        if (line.startsWith(ID)) eventId = line.removePrefix(ID).trim().toIntOrNull()
        if (line.isEmpty()) eventId = null
        if (!line.startsWith(DATA)) return emptyList()
        val data = line.removePrefix(DATA)
        if (data == END_MARKER) {
            isDone = true
            return emptyList()
        }
        return acceptReply(chatJson.decodeFromString<ChatReply>(data))
    }

    private fun acceptReply(reply: ChatReply): List<EngineEvent> {
        val id = eventId
        when {
            reply.id != null && reply.id != requestId -> return markBroken("the answer belongs to another request")
            id != null && id <= lastEvent -> return emptyList()
            id != null && id != lastEvent + 1 -> return markBroken("expected event ${lastEvent + 1}, actual $id")
        }
        if (id != null) lastEvent = id
        return listOfNotNull(
            reply.choices.firstOrNull()?.delta?.let { EngineEvent.Text(it.content) },
            reply.usage?.let { EngineEvent.Tokens(it) },
        )
    }

    private fun markBroken(reason: String): List<EngineEvent> {
        isBroken = true
        problem = reason
        return emptyList()
    }

    private companion object {
        const val ID = "id: "
        const val DATA = "data: "
        const val END_MARKER = "[DONE]"
    }
}
