package io.jasmineford.gateway.turn

import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.peer.peerCbor
import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.InetSocketAddress

/** TCP server for a [HistoryReplica]. */
class HistoryServer(
    private val group: EventLoopGroup,
    private val replica: HistoryReplica,
    private val log: EventLog,
) {
    /** Listens on [address]. */
    fun open(address: InetSocketAddress) {
        ServerBootstrap().group(group).channel(NioServerSocketChannel::class.java)
            .childHandler(object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    frameKeepAlive.applyTo(channel)
                    channel.pipeline().addLast(frameDecoder(), RequestHandler())
                }
            })
            .bind(address).syncUninterruptibly()
    }

    private inner class RequestHandler : ChannelInboundHandlerAdapter() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            val frame = peerCbor.decodeFromByteArray<RequestFrame>((message as ByteBuf).readAndRelease())
            replica.handle(frame.stamp, frame.request) { reply ->
                context.channel().writeFrame(peerCbor.encodeToByteArray(ReplyFrame(frame.number, reply)))
            }
        }

        @Deprecated("Deprecated in the supertype")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.event("history-connection-error", "peer" to context.channel().remoteAddress(), "reason" to cause)
            context.close()
        }
    }
}
