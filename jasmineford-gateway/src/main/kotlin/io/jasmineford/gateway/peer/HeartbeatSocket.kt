package io.jasmineford.gateway.peer

import io.jasmineford.gateway.log.EventLog
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.net.InetSocketAddress

/** Sends and receives heartbeats as UDP datagrams. */
class HeartbeatSocket(
    private val group: EventLoopGroup,
    private val address: InetSocketAddress,
    private val log: EventLog,
    private val onHeartbeat: (Heartbeat) -> Unit,
) {
    private var channel: Channel? = null

    /** Binds the socket to [address]. */
    fun open() {
        channel = Bootstrap().group(group).channel(NioDatagramChannel::class.java)
            .option(ChannelOption.RECVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
            .handler(Receiver()).bind(address).syncUninterruptibly().channel()
    }

    /** Sends [heartbeat] to [member]; delivery is not guaranteed. */
    fun send(member: Member, heartbeat: Heartbeat) {
        val bytes = peerCbor.encodeToByteArray(heartbeat)
        channel?.writeAndFlush(DatagramPacket(Unpooled.wrappedBuffer(bytes), member.peerAddress))
    }

    private companion object {
        /** Largest UDP datagram. Netty would cut longer ones than 2,048 bytes off, which makes them unreadable. */
        const val MAX_DATAGRAM_BYTES = 65_535
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun isSharable() = false

        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            try {
                onHeartbeat(peerCbor.decodeFromByteArray(ByteBufUtil.getBytes(packet.content())))
            } catch (e: SerializationException) {
                log.event("heartbeat-unreadable", "sender" to packet.sender(), "reason" to e.message)
            }
        }

        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.event("heartbeat-socket-error", "reason" to cause)
        }
    }
}
