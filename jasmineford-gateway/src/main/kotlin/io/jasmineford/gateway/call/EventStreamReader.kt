package io.jasmineford.gateway.call

import io.netty.buffer.ByteBuf
import java.io.ByteArrayOutputStream

/**
 * A complete server-sent event.
 *
 * @property bytes the event as received, including the blank line that ends it.
 * @property id null when the event has no id field.
 * @property data values of the data fields, joined by line feeds.
 */
class StreamEvent(
    val bytes: ByteArray,
    val id: String?,
    val data: String,
)

/**
 * Incremental parser of a `text/event-stream`; a partial event is buffered until its end arrives.
 *
 * @param after id behind which the stream goes on: the ids of its events have to increase from there. Null if the ids
 * are not compared; those that are no numbers never are.
 */
class EventStreamReader(after: Long? = null) {
    private var lastId = after
    private val pending = ByteArrayOutputStream()
    private var isLineEmpty = true

    /** Whether the stream holds lines that no event stream has, or an event again; what follows is not read. */
    var isInvalid = false
        private set

    /** Whether a partial event is buffered. */
    val hasPartial: Boolean get() = pending.size() > 0

    /** Size of the buffered partial event. */
    val partialBytes: Int get() = pending.size()

    /** Consumes [data] and passes each completed event to [onEvent]; events without id and data are dropped. */
    fun read(data: ByteBuf, onEvent: (StreamEvent) -> Unit) {
        while (data.isReadable && !isInvalid) {
            val textLength = data.bytesBefore(LINE_FEED)
            val length = if (textLength < 0) data.readableBytes() else textLength
            if (data.forEachByte(data.readerIndex(), length) { it == CARRIAGE_RETURN } >= 0) isLineEmpty = false
            data.readBytes(pending, if (textLength < 0) length else length + 1)
            when {
                textLength < 0 -> Unit
                isLineEmpty -> emit(onEvent)
                else -> isLineEmpty = true
            }
        }
    }

    private fun emit(onEvent: (StreamEvent) -> Unit) {
        val bytes = pending.toByteArray()
        pending.reset()
        isLineEmpty = true
        val lines = String(bytes, Charsets.UTF_8).lines()
        val isEvent = lines.any { it.startsWith(DATA) || it.startsWith(ID) }
        val id = lines.lastOrNull { it.startsWith(ID) }?.field(ID)
        val hasOtherLines = lines.any { it.isNotEmpty() && !COMMENT_OR_FIELD.containsMatchIn(it) }
        isInvalid = hasOtherLines || !isInOrder(id?.toLongOrNull())
        if (isInvalid || !isEvent) return
        val text = lines.filter { it.startsWith(DATA) }.joinToString("\n") { it.field(DATA) }
        onEvent(StreamEvent(bytes, id, text))
    }

    private fun isInOrder(id: Long?): Boolean {
        val last = lastId
        if (last == null || id == null) return true
        lastId = id
        return id > last
    }

    private fun String.field(name: String) = removePrefix(name).removePrefix(" ")

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val DATA = "data:"
        const val ID = "id:"

        /** Names of fields are in lower case; those of headers, which follow where a response runs on, mostly not. */
        val COMMENT_OR_FIELD = Regex("^[a-z0-9_-]*:")
    }
}
