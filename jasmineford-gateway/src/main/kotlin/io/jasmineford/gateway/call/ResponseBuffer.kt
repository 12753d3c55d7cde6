package io.jasmineford.gateway.call

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * Receives an endpoint's response: passes on the events of a successful stream and buffers any other body.
 *
 * @param mayStream whether a successful response is a stream of events.
 * @param after id behind which the stream goes on; null if the ids of its events are not compared.
 */
internal class ResponseBuffer(
    private val mayStream: Boolean,
    after: Long?,
    private val onEvent: (ResponseHead, StreamEvent) -> Unit,
) {
    private val reader = EventStreamReader(after)
    private val buffered = Unpooled.buffer()

    /** Status and headers; null before they have arrived. */
    var head: ResponseHead? = null
        private set

    /** Whether the response is passed on event by event. */
    val isStream: Boolean get() = mayStream && head?.isSuccess == true

    /** Whether the response is a stream that holds other bytes than events. */
    val isInvalid: Boolean get() = isStream && reader.isInvalid

    /** Whether the stream has stopped inside an event. */
    val endsInsideEvent: Boolean get() = isStream && reader.hasPartial

    /** Number of bytes held in memory: the body so far, or an event whose end has not arrived. */
    val heldBytes: Int get() = if (isStream) reader.partialBytes else buffered.readableBytes()

    /** Receives status and headers. */
    fun onHead(head: ResponseHead) {
        this.head = head
    }

    /** Receives a part of the body. */
    fun onData(data: ByteBuf) {
        val current = head ?: return
        if (isStream) reader.read(data) { onEvent(current, it) } else buffered.writeBytes(data)
    }

    /** The buffered body. */
    fun body(): ByteBuf = buffered
}
