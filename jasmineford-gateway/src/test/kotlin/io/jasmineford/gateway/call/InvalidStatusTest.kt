package io.jasmineford.gateway.call

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Endpoints whose status lines are invalid and that keep the connection open. Guards against calls that wait for them
 * until their deadline, and against callers that get such a status.
 */
class InvalidStatusTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = systemMonotonicClock()
    private val servers = CopyOnWriteArrayList<ServerSocket>()

    @AfterTest
    fun stop() {
        servers.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a call that may be repeated is answered by another endpoint`() {
        STATUSES.forEach { assertEquals("200", outcomeOf(it, RouteKind.SAFE, maxAttempts = 2), it) }
    }

    @Test
    fun `a call that may not be repeated ends as one that may have run`() {
        STATUSES.forEach { assertEquals("502", outcomeOf(it, RouteKind.UNSAFE, maxAttempts = 2), it) }
    }

    @Test
    fun `a stream that may not be repeated ends as one that may have run`() {
        STATUSES.forEach { assertEquals("502", outcomeOf(it, RouteKind.STREAM, maxAttempts = 2), it) }
    }

    /** Status that the caller gets when the first endpoint answers with [status] and the other one answers well. */
    private fun outcomeOf(status: String, kind: RouteKind, maxAttempts: Int): String {
        val directory = EndpointDirectory(clock)
        val faulty = serve(status)
        val sound = serve("200")
        val caller = RecordingExchange()
        loop.execute {
            // Only the faulty endpoint is known when the call is placed.
            directory.replace(listOf(endpoint("e1").copy(address = faulty)))
            ProxyCall(call(kind, maxAttempts), caller, callServices(group, loop, directory)).start()
            directory.replace(listOf(endpoint("e1").copy(address = faulty), endpoint("e2").copy(address = sound)))
        }
        val outcome = checkNotNull(caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "no end after $status" }
        val rate = loop.submit<Double> { directory.all.first { it.endpoint.id == "e1" }.failureRate }.get()
        assertTrue(rate > 0, "the endpoint is not rated as failing after $status")
        return outcome
    }

    private fun serve(status: String): InetSocketAddress {
        val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).also(servers::add)
        val head = "HTTP/1.1 $status x\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    val reader = socket.getInputStream().bufferedReader()
                    while (reader.readLine().orEmpty().isNotEmpty()) Unit
                    socket.getOutputStream().write(head.toByteArray())
                }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
        return InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
    }

    private fun call(kind: RouteKind, maxAttempts: Int): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", "a1")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList(), maxAttempts)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    private companion object {
        val STATUSES = listOf(
            "000", "001", "099", "100", "150", "199", "0200", "600", "999", "20", "2OO", "200x", "-200", "+20",
        )

        /** Longer than the test waits, so a call that ends by its deadline fails the test. */
        val CALL_TIMEOUT: Duration = 60.seconds
        const val WAIT_SECONDS = 10L
    }
}
