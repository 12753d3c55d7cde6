package io.jasmineford.gateway.http

import io.netty.channel.Channel
import io.netty.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Single timer of a connection; arming it again replaces the pending action. */
internal class ConnectionTimer(private val channel: Channel) {
    private var pending: Future<*>? = null

    /** Runs [action] after [delay]. */
    fun arm(delay: Duration, action: () -> Unit) {
        cancel()
        pending = channel.eventLoop().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Cancels the pending action, if there is one. */
    fun cancel() {
        pending?.cancel(false)
    }
}
