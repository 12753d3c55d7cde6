package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil

/**
 * Decides whether the response that begins with [head] has stopped and bytes of another one have taken its place, which
 * may then be as long as announced.
 *
 * @param idHeader header in which the server names the request; null if the server has no ids.
 * @param headRead number of the read from the connection that brought the end of the head.
 */
internal class InterruptionDetector(head: HttpResponse, idHeader: String?, private val headRead: Int) {
    private val hasLength = HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head)
    private val innerHeads = InnerHeadDetector(idHeader)
    private var lastReadBehind = 0

    /** Whether the bytes behind the body decide, should there be any soon. */
    val dependsOnNextBytes: Boolean get() = hasLength && innerHeads.isOpen

    /** Called when bytes have been read from the connection, before any of them is decoded. */
    fun readStarted() = innerHeads.readStarted()

    /** Called when the read began with other bytes than those of the body. */
    fun readBeganBeforeBody() = innerHeads.readBeganBeforeBody()

    /** Whether the body, of which [part] is the next part, holds the head of another response. */
    fun isInterruptedBy(part: ByteBuf): Boolean = innerHeads.finds(part)

    /**
     * Whether [bytes], which arrived in the read number [read] behind the body, began inside it. The body ended in the
     * read number [endRead].
     */
    fun isInterruptedBehind(bytes: ByteBuf, read: Int, endRead: Int): Boolean {
        if (!hasLength || read == lastReadBehind) return false
        lastReadBehind = read
        val beginsResponse = bytes.getByte(bytes.readerIndex()) == ResponseMatcher.FIRST_BYTE
        // Noise that was read together with a later part of the body may have begun before the end of the body.
        val mayBeNoise = !beginsResponse && !bytes.isLineEnd() && read == endRead && read > headRead
        return mayBeNoise || innerHeads.findsBehind(bytes)
    }

    /** Whether these are the end of a line, which some servers send behind each body. */
    private fun ByteBuf.isLineEnd() = readableBytes() <= LINE_END.length && toString(Charsets.US_ASCII) in LINE_END

    private companion object {
        const val LINE_END = "\r\n"
    }
}
