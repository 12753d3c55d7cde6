package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses of one connection. A response without a length is complete at the server's orderly close only;
 * any other end of the connection breaks it off.
 */
internal class ResponseDecoder(private val matcher: ResponseMatcher) :
    HttpResponseDecoder(DECODER_CONFIG) {
    private var isInputShutDown = false
    private var isReadStart = false

    override fun isSharable() = false

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        matcher.readStarted()
        isReadStart = true
        super.channelRead(context, message)
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (buffer.isReadable) matcher.bytesArrived(buffer)
        val start = buffer.readerIndex()
        // What the decoder takes from a read before a body, the size or the end of a chunk, begins otherwise.
        val mayBeginBeforeBody = isReadStart && buffer.isReadable && buffer.getByte(start) != ResponseMatcher.FIRST_BYTE
        isReadStart = false
        val decoded = out.size
        super.decode(context, buffer, out)
        val body = (out.getOrNull(decoded) as? HttpContent)?.content()?.readableBytes()
        if (mayBeginBeforeBody && buffer.readerIndex() - start != body) matcher.readBeganBeforeBody()
    }

    override fun decodeLast(context: ChannelHandlerContext, buffer: ByteBuf, out: MutableList<Any>) {
        if (isInputShutDown) super.decodeLast(context, buffer, out)
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event is ChannelInputShutdownEvent) {
            isInputShutDown = true
            matcher.taint()
        }
        super.userEventTriggered(context, event)
    }

    /** Called with version, status and reason of a status line; Netty reads statuses such as `0200` and `999`, too. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(STATUS.matches(initialLine[1])) { "invalid status '${initialLine[1].take(MAX_SHOWN_CHARS)}'" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || matcher.isWithoutBody(message as HttpResponse)

    private companion object {
        const val MAX_LINE_BYTES = 8192
        const val MAX_HEADER_BYTES = 65_536
        const val MAX_CHUNK_BYTES = 65_536

        const val MAX_SHOWN_CHARS = 20

        /** 100 to 599. */
        val STATUS = Regex("[1-5][0-9]{2}")

        val DECODER_CONFIG: HttpDecoderConfig = HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
    }
}
