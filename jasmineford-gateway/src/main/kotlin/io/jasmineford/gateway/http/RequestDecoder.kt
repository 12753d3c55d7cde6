package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/** Decodes requests and counts the memory of heads and trailers, also of those that are read in part. */
internal class RequestDecoder(maxHeadBytes: Int, private val footprint: RequestFootprint) :
    HttpRequestDecoder(maxHeadBytes, maxHeadBytes, MAX_CHUNK_BYTES) {
    private var head = Count(0, 0)

    /** Head, or head and trailers. Lines between the parts of a body leave no objects behind. */
    private var read = head
    private var isEnded = false

    private class Count(val bytes: Int, val lines: Int)

    override fun isSharable() = false

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isEnded) {
            head = Count(0, 0)
            read = head
        }
        val start = buffer.readerIndex()
        val decoded = out.size
        super.decode(context, buffer, out)
        val message = out.getOrNull(decoded)
        isEnded = out.lastOrNull() is LastHttpContent
        val bytes = read.bytes + buffer.readerIndex() - start
        read = when {
            message is HttpRequest -> Count(bytes, message.headers().size()).also { head = it }
            message is HttpContent && message.content().isReadable -> head
            else -> Count(bytes, read.lines + buffer.linesFrom(start))
        }
        // The rest of the buffer is a line whose end is missing, unless a body follows.
        footprint.readHead(read.bytes + if (message == null) buffer.readableBytes() else 0, read.lines)
    }

    private fun ByteBuf.linesFrom(start: Int): Int {
        var count = 0
        var next = indexOf(start, readerIndex(), LINE_FEED)
        while (next >= 0) {
            count++
            next = indexOf(next + 1, readerIndex(), LINE_FEED)
        }
        return count
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
        const val LINE_FEED = '\n'.code.toByte()
    }
}
