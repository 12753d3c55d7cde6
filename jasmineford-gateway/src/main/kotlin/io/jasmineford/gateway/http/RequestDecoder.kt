package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.LastHttpContent

/**
 * Decodes requests and counts the memory of heads and trailers, also of those that are read in part. Folded lines are
 * unfolded first, so that the work for a request grows with its bytes only.
 */
internal class RequestDecoder(maxHeadBytes: Int, private val footprint: RequestFootprint) :
    HttpRequestDecoder(maxHeadBytes, maxHeadBytes, MAX_CHUNK_BYTES) {
    private var head = Count(0, 0)

    /** Head, or head and trailers. Lines between the parts of a body leave no objects behind. */
    private var read = head
    private var section = Section.START

    private class Count(val bytes: Int, val lines: Int)

    /** Section of a request to which the next byte belongs. */
    private enum class Section { START, HEADERS, BODY, TRAILERS }

    override fun isSharable() = false

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (section == Section.START) {
            head = Count(0, 0)
            read = head
        }
        val start = buffer.readerIndex()
        val decoded = out.size
        decodeUnfolded(context, buffer, out)
        val message = out.getOrNull(decoded)
        section = sectionAfter(message, buffer, start, isEnded = out.lastOrNull() is LastHttpContent)
        val bytes = read.bytes + buffer.readerIndex() - start
        read = when {
            message is HttpRequest -> Count(bytes, message.headers().size()).also { head = it }
            message is HttpContent && message.content().isReadable -> head
            else -> Count(bytes, read.lines + buffer.linesFrom(start))
        }
        // The rest of the buffer is a line whose end is missing, unless a body follows.
        footprint.readHead(read.bytes + if (message == null) buffer.readableBytes() else 0, read.lines)
    }

    private fun decodeUnfolded(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        val end = buffer.writerIndex()
        if (section != Section.BODY) {
            buffer.writerIndex(LineUnfolder.unfold(buffer, isHead = section == Section.START))
        }
        super.decode(context, buffer, out)
        buffer.writerIndex(end)
    }

    private fun sectionAfter(message: Any?, buffer: ByteBuf, start: Int, isEnded: Boolean): Section = when {
        isEnded -> Section.START
        message is HttpRequest -> Section.BODY
        section == Section.START && buffer.hasTextFrom(start) -> Section.HEADERS
        section == Section.BODY && message == null && buffer.isLastChunkAt(start) -> Section.TRAILERS
        else -> section
    }

    private fun ByteBuf.hasTextFrom(start: Int) = (start until readerIndex()).any { getByte(it) !in 0..SPACE }

    /** Whether what was read from [start] on is the size of the last chunk, zero. */
    private fun ByteBuf.isLastChunkAt(start: Int): Boolean {
        val end = (start until readerIndex()).firstOrNull { getByte(it) != ZERO } ?: return false
        return end > start && getByte(end) in AFTER_CHUNK_SIZE
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
        const val SPACE = ' '.code.toByte()
        const val ZERO = '0'.code.toByte()
        val AFTER_CHUNK_SIZE = "\r\n; \t".map { it.code.toByte() }.toSet()
    }
}
