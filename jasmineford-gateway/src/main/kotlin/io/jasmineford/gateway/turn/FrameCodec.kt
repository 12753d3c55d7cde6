package io.jasmineford.gateway.turn

import io.jasmineford.gateway.http.KeepAliveProbes
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.LengthFieldBasedFrameDecoder

/** Largest frame between daemons, a copy reply with many turns. */
private const val MAX_FRAME_BYTES = 32 * 1024 * 1024
private const val LENGTH_BYTES = 4

/** Decoder of frames that start with their length in four bytes; [onHeld] gets the bytes of an incomplete frame. */
internal fun frameDecoder(onHeld: (bytes: Long) -> Unit = {}): LengthFieldBasedFrameDecoder =
    object : LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES) {
        override fun isSharable() = false

        override fun decode(context: ChannelHandlerContext, buffer: ByteBuf): Any? {
            val frame = super.decode(context, buffer)
            onHeld(buffer.readableBytes().toLong())
            return frame
        }
    }

/** Returns the bytes of the frame and releases the buffer. */
internal fun ByteBuf.readAndRelease(): ByteArray = try {
    ByteBufUtil.getBytes(this)
} finally {
    release()
}

/** Writes [bytes] as one frame and flushes it; the direct buffer goes to the socket without another copy. */
internal fun Channel.writeFrame(bytes: ByteArray): ChannelFuture =
    writeAndFlush(alloc().directBuffer(LENGTH_BYTES + bytes.size).writeInt(bytes.size).writeBytes(bytes))

/** TCP keep-alive settings of connections between daemons, which detect dead peers. */
internal val frameKeepAlive = KeepAliveProbes()
