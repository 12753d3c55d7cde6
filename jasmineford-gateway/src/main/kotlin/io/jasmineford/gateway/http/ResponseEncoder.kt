package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.HttpResponseEncoder

/** A part of the body of a chunked response. */
internal class StreamPart(data: ByteBuf) : DefaultHttpContent(data)

/**
 * Encodes responses. Netty passes on three buffers for each chunk, which take three writes through the pipeline and a
 * gathering write to the socket; here a [StreamPart] is one buffer.
 */
internal class ResponseEncoder : HttpResponseEncoder() {
    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        // An empty chunk would end the body.
        if (message is StreamPart && message.content().isReadable) {
            val chunk = try {
                chunkOf(message.content(), context.alloc())
            } finally {
                message.release()
            }
            context.write(chunk, promise)
        } else {
            super.write(context, message, promise)
        }
    }

    private fun chunkOf(data: ByteBuf, allocator: ByteBufAllocator): ByteBuf {
        val size = data.readableBytes()
        val chunk = allocator.directBuffer(size + MAX_FRAMING_BYTES)
        var shift = Int.SIZE_BITS - Integer.numberOfLeadingZeros(size) - 1 and (BITS_PER_DIGIT - 1).inv()
        while (shift >= 0) {
            chunk.writeByte(DIGITS[size ushr shift and DIGIT_MASK].code)
            shift -= BITS_PER_DIGIT
        }
        return chunk.writeShort(LINE_END).writeBytes(data).writeShort(LINE_END)
    }

    private companion object {
        const val DIGITS = "0123456789abcdef"
        const val BITS_PER_DIGIT = 4
        const val DIGIT_MASK = 0xf

        /** CR and LF. */
        const val LINE_END = 0x0d0a

        /** Eight digits and two line ends. */
        const val MAX_FRAMING_BYTES = 12
    }
}
