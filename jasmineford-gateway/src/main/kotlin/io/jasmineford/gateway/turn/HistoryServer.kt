package io.jasmineford.gateway.turn

import io.jasmineford.gateway.http.AcceptFailures
import io.jasmineford.gateway.http.ConnectionLimit
import io.jasmineford.gateway.http.ListenerResources
import io.jasmineford.gateway.http.OutboundBytes
import io.jasmineford.gateway.http.RejectionLog
import io.jasmineford.gateway.http.RejectionReason
import io.jasmineford.gateway.http.UnsharedHandler
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.peer.peerCbor
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.InetSocketAddress

/**
 * TCP server for a [HistoryReplica].
 *
 * @param resources bounds on the connections, the frames that are being read and the replies that are not read.
 */
class HistoryServer(
    private val group: EventLoopGroup,
    private val replica: HistoryReplica,
    private val log: EventLog,
    private val resources: ListenerResources = ListenerResources(RejectionLog(log)),
) {
    /** Listens on [address]. */
    fun open(address: InetSocketAddress) {
        ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun isSharable() = true

                override fun initChannel(channel: SocketChannel) = accept(channel)
            })
            .bind(address).syncUninterruptibly().channel()
            .pipeline().addLast(AcceptFailures(resources.rejections))
    }

    private fun accept(channel: SocketChannel) {
        val place = resources.connections.admit { end(channel, RejectionReason.CONNECTIONS) }
        if (place == null) {
            end(channel, RejectionReason.CONNECTIONS)
            return
        }
        val frame = resources.requests.holder { end(channel, RejectionReason.REQUEST_MEMORY) }
        channel.closeFuture().addListener {
            place.leave()
            frame.hold(0)
        }
        frameKeepAlive.applyTo(channel)
        channel.pipeline().addLast(
            OutboundBytes(channel, resources.unread, log),
            frameDecoder { bytes -> if (channel.isActive) frame.hold(bytes) },
            RequestHandler(place),
        )
    }

    private fun end(channel: SocketChannel, reason: RejectionReason) {
        resources.rejections.record(reason, channel.remoteAddress())
        channel.close()
    }

    private inner class RequestHandler(private val place: ConnectionLimit.Place) : UnsharedHandler() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            // The connections that are used the least recently come first when one has to be closed.
            place.endRequests()
            val frame = peerCbor.decodeFromByteArray<RequestFrame>((message as ByteBuf).readAndRelease())
            replica.handle(frame.stamp, frame.request) { reply ->
                context.channel().writeFrame(peerCbor.encodeToByteArray(ReplyFrame(frame.number, reply)))
            }
        }

        @Suppress("OVERRIDE_DEPRECATION")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.event("history-connection-error", "peer" to context.channel().remoteAddress(), "reason" to cause)
            context.close()
        }
    }
}
