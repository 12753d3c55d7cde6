package io.jasmineford.gateway.http

import io.netty.channel.ChannelHandlerContext

/**
 * Last handler of a listening channel. Netty stops accepting for a second after a failure, which is recorded here: the
 * end of the pipeline would log it through the JDK, whose formatter opens files, and without a descriptor that failure
 * ends the event loop.
 */
internal class AcceptFailures(private val rejections: RejectionLog) : UnsharedHandler() {
    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
        rejections.record(RejectionReason.NOT_ACCEPTED, cause)
}
