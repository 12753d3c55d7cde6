package io.jasmineford.gateway.http

import io.jasmineford.gateway.log.EventLog
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise

/**
 * Counts the bytes that wait for a caller to read them against [budget]. A caller that holds the most is cut off, by
 * bytes and by the time for which some have waited: one that reads must not be cut off for many that don't.
 */
internal class OutboundBytes(channel: Channel, budget: MemoryBudget, log: EventLog) : ChannelOutboundHandlerAdapter() {
    private var isEnded = false
    private var waiting = 0L
    private val holder = budget.holder(isAging = true) {
        isEnded = true
        log.event("caller-too-slow", "caller" to channel.remoteAddress(), "bytes" to waiting)
        channel.close()
    }

    override fun isSharable() = false

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        val bytes = (message as? ByteBuf)?.readableBytes()?.toLong() ?: 0
        val next = promise.unvoid()
        context.write(message, next)
        if (bytes > 0 && !next.isDone) {
            add(bytes)
            next.addListener { add(-bytes) }
        }
    }

    private fun add(bytes: Long) {
        waiting += bytes
        if (!isEnded) holder.hold(waiting)
    }
}
