package io.jasmineford.gateway.http

import io.jasmineford.core.time.MonotonicClock
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponse
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Opens connections. */
fun interface Connector {
    /**
     * Opens a connection to [address] and passes it to [onDone], null when that fails; [onUnmatched] gets the head of
     * each response that belongs to no request.
     */
    fun open(
        address: InetSocketAddress,
        onUnmatched: (HttpClientConnection, HttpResponse) -> Unit,
        onDone: (HttpClientConnection?) -> Unit,
    )
}

/** Connector of TCP connections on [group]. */
fun tcpConnector(group: EventLoopGroup) = Connector { address, onUnmatched, onDone ->
    HttpClientConnection.open(group, address, onUnmatched, onDone)
}

/**
 * Pool of idle connections to one address.
 *
 * @param onUnmatched gets the head of each response that belongs to no request.
 */
class ConnectionPool(
    private val connector: Connector,
    private val address: InetSocketAddress,
    private val clock: MonotonicClock,
    private val onUnmatched: (HttpClientConnection, HttpResponse) -> Unit = { _, _ -> },
) {
    private class Idle(val connection: HttpClientConnection, val usableUntil: Duration)

    private val idle = ArrayDeque<Idle>()
    private var isClosed = false

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
            connector.open(address, onUnmatched, onDone)
        }
    }

    /** Returns [connection] to the pool, or closes it when it can't be reused. Closes connections idle for too long. */
    fun release(connection: HttpClientConnection) {
        if (connection.isReusable && !isClosed) {
            val announced = connection.idleTimeoutSeconds?.seconds?.let { it - CLOSE_MARGIN }
            idle.addLast(Idle(connection, clock.now() + (announced ?: DEFAULT_IDLE_TIMEOUT)))
        } else {
            connection.close()
        }
        while (idle.isNotEmpty() && idle.first().usableUntil <= clock.now()) idle.removeFirst().connection.close()
    }

    /** Closes all idle connections, and each other one when it is released. */
    fun close() {
        isClosed = true
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
