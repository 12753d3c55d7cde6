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
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * An endpoint that sends a second copy of a response when the same call is sent to it again. Guards against a copy that
 * is taken for the response to the later sending, so that a call runs twice or its caller gets an old failure.
 */
class LateCopyTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = systemMonotonicClock()
    private val runs = AtomicInteger()
    private val serving = ConcurrentLinkedQueue<Thread>()
    private val server = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `the late copy of a refusal does not make an unsafe call run twice`() {
        assertEquals("200", outcomeOf(REFUSAL, RouteKind.UNSAFE))
        assertEquals(1, runs.get())
    }

    @Test
    fun `the late copy of a failure is not the response to the repeated call`() {
        assertEquals("200", outcomeOf(FAILURE, RouteKind.SAFE))
        assertEquals(1, runs.get())
    }

    /** Status of a call whose endpoint answers it with [first] once, and copies that before it runs the call. */
    private fun outcomeOf(first: String, kind: RouteKind): String {
        val sendings = AtomicInteger()
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    serving.add(thread(isDaemon = true) { serve(socket, first, sendings) })
                }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
        val directory = EndpointDirectory(clock)
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        val caller = RecordingExchange()
        val services = callServices(group, loop, directory)
        loop.execute {
            directory.replace(listOf(endpoint("e1").copy(address = address)))
            ProxyCall(call(kind), caller, services).start()
        }
        val outcome = checkNotNull(caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "the call did not end" }
        // The endpoint reads all that was sent, up to the end of each connection.
        loop.execute { services.sender.keepOnly(emptySet()) }
        serving.forEach { it.join(WAIT_SECONDS.seconds.inWholeMilliseconds) }
        return outcome
    }

    private fun serve(socket: Socket, first: String, sendings: AtomicInteger) = socket.use {
        val reader = it.getInputStream().bufferedReader()
        var copy = ""
        while (generateSequence { reader.readLine() }.takeWhile(String::isNotEmpty).count() > 0) {
            val isFirst = sendings.getAndIncrement() == 0
            val response = if (isFirst) first else "$copy$SUCCESS"
            if (isFirst) copy = first else runs.incrementAndGet()
            it.getOutputStream().write(response.toByteArray())
        }
    }

    private fun call(kind: RouteKind): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", "a1")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList()).copy(maxAttempts = 3)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    private companion object {
        const val REFUSAL =
            "HTTP/1.1 503 Full\r\nAttempt: a1\r\nNot-Executed: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"
        const val FAILURE = "HTTP/1.1 500 Oh\r\nAttempt: a1\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"
        const val SUCCESS = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"
        val CALL_TIMEOUT = 60.seconds
        const val WAIT_SECONDS = 20L
        const val CONNECTIONS = 8
    }
}
