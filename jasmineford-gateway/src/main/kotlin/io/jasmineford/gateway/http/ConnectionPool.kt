package io.jasmineford.gateway.http

import io.jasmineford.core.time.MonotonicClock
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponse
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Pool of idle connections to one address.
 *
 * @param onUnmatched gets the head of each response that belongs to no request.
 */
class ConnectionPool(
    private val group: EventLoopGroup,
    private val address: InetSocketAddress,
    private val clock: MonotonicClock,
    private val onUnmatched: (HttpClientConnection, HttpResponse) -> Unit = { _, _ -> },
) {
    private class Idle(val connection: HttpClientConnection, val usableUntil: Duration)

    private val idle = ArrayDeque<Idle>()

    /** Passes an idle [isEligible] connection or a new one to [onDone]; null when the address can't be reached. */
    fun acquire(isEligible: (HttpClientConnection) -> Boolean = { true }, onDone: (HttpClientConnection?) -> Unit) {
        val now = clock.now()
        idle.removeAll { entry ->
            val isUsable = entry.connection.isReusable && entry.usableUntil > now
            if (!isUsable) entry.connection.close()
            !isUsable
        }
        // The most recently used connection is the least likely to be closed by the server.
        val index = idle.indexOfLast { isEligible(it.connection) }
        if (index >= 0) {
            onDone(idle.removeAt(index).connection)
        } else {
            HttpClientConnection.open(group, address, onUnmatched, onDone)
        }
    }

    /** Returns [connection] to the pool, or closes it when it can't be reused. Closes connections idle for too long. */
    fun release(connection: HttpClientConnection) {
        if (connection.isReusable) {
            val announced = connection.idleTimeoutSeconds?.seconds?.let { it - CLOSE_MARGIN }
            idle.addLast(Idle(connection, clock.now() + (announced ?: DEFAULT_IDLE_TIMEOUT)))
        } else {
            connection.close()
        }
        while (idle.isNotEmpty() && idle.first().usableUntil <= clock.now()) idle.removeFirst().connection.close()
    }

    /** Closes all idle connections. */
    fun close() {
        idle.forEach { it.connection.close() }
        idle.clear()
    }

    private companion object {
        /** Margin before the server's idle timeout, so that a request does not cross the closing of the connection. */
        val CLOSE_MARGIN = 500.milliseconds

        /** Idle time when the server announces no timeout in whole seconds. */
        val DEFAULT_IDLE_TIMEOUT = 300.milliseconds
    }
}
