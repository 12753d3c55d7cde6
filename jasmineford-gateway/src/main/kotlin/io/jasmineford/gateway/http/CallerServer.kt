package io.jasmineford.gateway.http

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.log.EventLog
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.ServerChannelRecvByteBufAllocator
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseStatus
import java.net.InetSocketAddress

/** Handles complete requests. */
fun interface CallerHandler {
    /** Handles [request]; the answer goes to [exchange] now or later. */
    fun handle(request: CallerRequest, exchange: CallerExchange)
}

/**
 * HTTP/1.1 server for callers.
 *
 * @param limits limits on requests; read once for each new connection.
 * @param isClosing whether answers carry `Connection: close`, so that callers move to other daemons.
 * @param resources bounds on the connections, their requests and the answers that callers have not read yet.
 */
class CallerServer(
    private val group: EventLoopGroup,
    private val limits: () -> CallLimits,
    private val isClosing: () -> Boolean,
    private val log: EventLog,
    private val resources: ListenerResources = ListenerResources(RejectionLog(log)),
    private val handler: CallerHandler,
) {
    private val connections = HashMap<CallerConnection, Channel>()
    private var listener: Channel? = null

    /** Number of connections with a request that has no complete answer. */
    val openExchanges: Int get() = connections.keys.count { it.isBusy }

    /** Bound address; null before [open]. */
    val address: InetSocketAddress? get() = listener?.localAddress() as InetSocketAddress?

    /** Binds [address]; throws [java.net.BindException] when it is in use. */
    fun open(address: InetSocketAddress) {
        listener = ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPTED_AT_ONCE),
            )
            // Buffers of incomplete requests are kept; larger ones would hold memory that is not counted.
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES),
            )
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun isSharable() = true

                override fun initChannel(channel: SocketChannel) = accept(channel)
            })
            .bind(address).syncUninterruptibly().channel()
            .also { it.pipeline().addLast(AcceptFailures(resources.rejections)) }
    }

    /** Whether there are no connections. */
    val isEmpty: Boolean get() = connections.isEmpty()

    /** Stops accepting connections and closes those without a request. */
    fun closeIdle() {
        listener?.close()
        connections.filterKeys { !it.isBusy }.values.forEach { it.close() }
    }

    /** Refuses the requests that have been read in part only, and closes their connections. */
    fun refuseUnread() = connections.keys.filter { it.isReading }.forEach {
        it.reject(HttpResponseStatus.SERVICE_UNAVAILABLE, RejectionReason.STOPPING)
    }

    private fun accept(channel: SocketChannel) {
        val current = limits()
        val connection = CallerConnection(channel, current, isClosing, log, resources, handler)
        if (!connection.isAdmitted) {
            resources.rejections.record(RejectionReason.CONNECTIONS, channel.remoteAddress())
            channel.close()
            return
        }
        KeepAliveProbes(idleSeconds = CALLER_PROBE_IDLE_SECONDS).applyTo(channel)
        connections[connection] = channel
        channel.closeFuture().addListener { connections.remove(connection) }
        channel.pipeline().addLast(
            OutboundBytes(channel, resources.unread, log),
            RequestDecoder(current.maxHeaderBytes, connection.footprint),
            ResponseEncoder(),
            connection,
        )
    }

    private companion object {
        /** Connections that the kernel queues while the event loop is busy. */
        const val BACKLOG = 1024

        /**
         * Connections accepted in one iteration of the event loop. With Netty's 16, callers that open a connection for
         * each call wait in the kernel's queue, and the loop's lag, which decides on overload, stays small.
         */
        const val ACCEPTED_AT_ONCE = 128
        const val MIN_READ_BYTES = 64
        const val FIRST_READ_BYTES = 2048
        const val MAX_READ_BYTES = 16_384

        /** Detects callers that disappeared without closing the connection within a few seconds. */
        const val CALLER_PROBE_IDLE_SECONDS = 3
    }
}
