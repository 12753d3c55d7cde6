package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/**
 * What may have filled the rest of a body that is as long as announced.
 *
 * @property reason what log lines say of it.
 */
enum class Interruption(val reason: String) {
    /** Another response has begun inside the body, or inside its trailers. */
    RESPONSE("another response inside the body"),

    /** Bytes that begin no response follow directly on the body. */
    NOISE("bytes that are no response behind the body"),
}

/**
 * Decides whether the response that begins with [head] has stopped and other bytes have taken its place, which may then
 * be as long as announced.
 *
 * @param idHeader header in which the server names the request; null if the server has no ids.
 */
internal class InterruptionDetector(head: HttpResponse, idHeader: String?) {
    private val hasLength = HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)
    private val innerHeads = InnerHeadDetector(idHeader)
    private var hasBody = false
    private var hasNextResponse = false

    /** Whether the bytes behind the body decide, should there be any soon. */
    val dependsOnNextBytes: Boolean get() = hasLength && innerHeads.isOpen

    /** Called when bytes have been read from the connection, before any of them is decoded. */
    fun readStarted() = innerHeads.readStarted()

    /** Called when the read began with other bytes than those of the body. */
    fun readBeganBeforeBody() = innerHeads.readBeganBeforeBody()

    /** Whether the body, of which [part] is the next part, holds the head of another response. */
    fun isInterruptedBy(part: ByteBuf): Boolean {
        hasBody = hasBody || part.isReadable
        return innerHeads.finds(part)
    }

    /**
     * What [bytes], the next ones behind the body that are not decoded yet, tell of it; null if it may be whole.
     *
     * Noise behind a body may have begun before its end: how the bytes were divided into reads doesn't tell. A response
     * begins where the one before has ended, so the start of one speaks for a whole body.
     */
    fun interruptionBehind(bytes: ByteBuf): Interruption? {
        if (!hasLength || hasNextResponse) return null
        val start = bytes.readerIndex() + bytes.lineEndSize()
        val mayBeResponse = StatusLine.matches(bytes, start)
        hasNextResponse = mayBeResponse && bytes.writerIndex() - start >= StatusLine.size
        return when {
            innerHeads.findsBehind(bytes) -> Interruption.RESPONSE
            !mayBeResponse && hasBody -> Interruption.NOISE
            else -> null
        }
    }

    /** Size of the end of a line with which the bytes begin; some servers send one behind each body. */
    private fun ByteBuf.lineEndSize(): Int {
        val first = getByte(readerIndex())
        val second = if (readableBytes() > 1) getByte(readerIndex() + 1) else LINE_FEED
        return when {
            first == LINE_FEED -> 1
            first == CARRIAGE_RETURN && second == LINE_FEED -> minOf(2, readableBytes())
            else -> 0
        }
    }

    private companion object {
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
    }
}
