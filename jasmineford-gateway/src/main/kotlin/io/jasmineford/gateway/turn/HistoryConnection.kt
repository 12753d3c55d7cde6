package io.jasmineford.gateway.turn

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.http.UnsharedHandler
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.peerCbor
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Connection to one history daemon; opened by the first request and reopened by the first one after a failure. */
class HistoryConnection(
    private val group: EventLoopGroup,
    private val member: Member,
    private val clock: MonotonicClock,
    private val log: EventLog,
) {
    private var channel: Channel? = null
    private var isConnecting = false
    private var retryAt = Duration.ZERO
    private var nextNumber = 0L

    private class Pending(val sentAt: Duration, val expiresAt: Duration, val onReply: (HistoryReply?) -> Unit)

    private val pending = LinkedHashMap<Long, Pending>()
    private var hasFailed = false
    private var lastNumber = 0

    /** Time of the earliest timer; null while there is none. Most requests are answered long before it. */
    private var timerAt: Duration? = null

    /**
     * Number of the TCP connection that is open; null while there is none. Each one leads to one process only: after a
     * restart of the daemon it is another one.
     */
    val openNumber: Int? get() = lastNumber.takeIf { channel != null }

    /** Whether the daemon has replied to the latest requests, or is being asked for the first time. */
    val isResponsive: Boolean
        get() {
            val oldest = pending.values.firstOrNull()
            return !hasFailed && (oldest == null || clock.now() - oldest.sentAt < SLOW_REPLY)
        }

    private val unsent = ArrayList<RequestFrame>()
    private var isFull = false

    /** Bytes of requests that the daemon's host has not taken. */
    var unreadBytes = 0L
        private set

    /**
     * Sends [request] for the group of [stamp]; [onReply] gets null when no reply arrives within [timeout], and at once
     * while the daemon neither replies nor reads.
     */
    fun send(stamp: GroupStamp, request: HistoryRequest, timeout: Duration, onReply: (HistoryReply?) -> Unit) {
        if (!mayWait()) {
            onReply(null)
            return
        }
        val number = nextNumber++
        val now = clock.now()
        pending[number] = Pending(now, now + timeout, onReply)
        expireAt(now + timeout)
        val open = channel
        val frame = RequestFrame(number, stamp.epoch, request, stamp.joinedAt)
        if (open != null) {
            write(open, frame)
        } else {
            unsent.add(frame)
            connect()
        }
    }

    /** Whether another request may be sent. What the daemon doesn't read stays in memory beyond its time limit. */
    private fun mayWait(): Boolean {
        val wasFull = isFull
        isFull = unreadBytes >= MAX_UNREAD_BYTES && !isResponsive
        if (isFull && !wasFull) log.event("history-connection-full", "daemon" to member.name, "bytes" to unreadBytes)
        return !isFull
    }

    private fun write(open: Channel, frame: RequestFrame) {
        val bytes = peerCbor.encodeToByteArray(frame)
        val written = open.writeFrame(bytes)
        unreadBytes += bytes.size
        written.addListener { unreadBytes -= bytes.size }
    }

    /** Closes the connection; pending requests are completed with null. */
    fun close() {
        channel?.close()
        failAll()
    }

    private fun complete(number: Long, reply: HistoryReply?) {
        hasFailed = false
        pending.remove(number)?.onReply?.invoke(reply)
    }

    private fun expireAt(time: Duration) {
        val earliest = timerAt
        if (earliest != null && earliest <= time) return
        timerAt = time
        val delay = (time - clock.now()).inWholeMicroseconds.coerceAtLeast(0)
        group.next().schedule({ expire(time) }, delay, TimeUnit.MICROSECONDS)
    }

    /** Gives up the requests whose time is over; one timer serves all requests that are pending. */
    private fun expire(timer: Duration) {
        // An earlier timer has replaced this one.
        if (timer != timerAt) return
        timerAt = null
        // The clock may be behind that of the timer by less than its resolution.
        val now = maxOf(clock.now(), timer)
        val expired = pending.filterValues { it.expiresAt <= now }
        pending.keys.removeAll(expired.keys)
        pending.values.minOfOrNull { it.expiresAt }?.let(::expireAt)
        if (expired.isNotEmpty()) hasFailed = true
        expired.values.forEach { it.onReply(null) }
    }

    private fun connect() {
        if (isConnecting) return
        if (clock.now() < retryAt) {
            failAll()
            return
        }
        isConnecting = true
        Bootstrap().group(group).channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(object : ChannelInitializer<SocketChannel>() {
                override fun isSharable() = false

                override fun initChannel(channel: SocketChannel) {
                    frameKeepAlive.applyTo(channel)
                    channel.pipeline().addLast(frameDecoder(), ReplyHandler())
                }
            })
            .connect(member.ip, member.peerPort)
            .addListener { future ->
                isConnecting = false
                if (!future.isSuccess) {
                    retryAt = clock.now() + RECONNECT_BACKOFF
                    failAll()
                }
            }
    }

    private fun opened(channel: Channel) {
        // The connection was closed while it was being opened.
        if (unsent.isEmpty()) {
            channel.close()
            return
        }
        this.channel = channel
        lastNumber++
        val frames = unsent.filter { it.number in pending }
        unsent.clear()
        frames.forEach { write(channel, it) }
    }

    private fun failAll() {
        hasFailed = true
        unsent.clear()
        val failed = pending.values.toList()
        pending.clear()
        failed.forEach { it.onReply(null) }
    }

    private inner class ReplyHandler : UnsharedHandler() {
        override fun channelActive(context: ChannelHandlerContext) = opened(context.channel())

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val frame = peerCbor.decodeFromByteArray<ReplyFrame>((message as ByteBuf).readAndRelease())
            complete(frame.number, frame.reply)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            if (channel === context.channel()) {
                channel = null
                log.event("history-connection-lost", "daemon" to member.name, "waiting" to pending.size)
                failAll()
            }
        }

        @Suppress("OVERRIDE_DEPRECATION")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.event("history-connection-error", "daemon" to member.name, "reason" to cause)
            context.close()
        }
    }

    private companion object {
        /** Daemons of the same region accept a connection within milliseconds. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** Many times a round trip with a sync; a daemon that takes longer is not waited for. */
        val SLOW_REPLY = 200.milliseconds

        /** Bytes that may wait for a daemon without replies; with a few such daemons, a part of the direct memory. */
        const val MAX_UNREAD_BYTES = 4L * 1024 * 1024

        /** Time after a failed connection attempt in which requests fail without another one. */
        val RECONNECT_BACKOFF = 100.milliseconds
    }
}
