package io.jasmineford.gateway.http

import io.netty.channel.ChannelOption
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/**
 * TCP keep-alive settings that close a connection to an unreachable peer.
 *
 * @property idleSeconds idle time before the first probe.
 * @property intervalSeconds time between probes.
 * @property count number of unanswered probes after which the connection is closed.
 */
data class KeepAliveProbes(
    val idleSeconds: Int = 1,
    val intervalSeconds: Int = 1,
    val count: Int = 2,
) {
    /** Applies the settings to [channel] and disables Nagle's algorithm. */
    fun applyTo(channel: SocketChannel) {
        channel.config().setOption(ChannelOption.TCP_NODELAY, true)
        channel.config().setOption(ChannelOption.SO_KEEPALIVE, true)
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleSeconds)
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), intervalSeconds)
        channel.config().setOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), count)
    }
}
