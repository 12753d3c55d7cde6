package io.jasmineford.gateway.http

import io.netty.channel.ChannelInboundHandlerAdapter

/**
 * Handler that belongs to one pipeline. Netty else looks for an annotation that says so, for which the JDK generates
 * classes for all annotations of the handler, Kotlin's metadata included: a noticeable part of a daemon's start.
 */
internal abstract class UnsharedHandler : ChannelInboundHandlerAdapter() {
    final override fun isSharable() = false
}
