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
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Endpoints that send bytes without end until the connection is closed. Guards against a daemon that collects them
 * until its memory is full, and against calls that wait for the end until their deadline.
 */
class EndlessResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = systemMonotonicClock()
    private val directory = EndpointDirectory(clock)
    private val names = headerNames

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a body without end ends the call as one that may have run`() {
        assertEquals("502", outcomeOf("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n", RouteKind.UNSAFE))
    }

    @Test
    fun `an event without end breaks the stream off`() {
        assertEquals("502", outcomeOf("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\ndata: ", RouteKind.STREAM))
    }

    @Test
    fun `a head without end ends the call as one that may have run`() {
        assertEquals("502", outcomeOf("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nName: ", RouteKind.UNSAFE))
    }

    @Test
    fun `a refusal with a body without end still says that the call has not run`() {
        assertEquals("503", outcomeOf("HTTP/1.1 503 Full\r\nAttempt: a1\r\nNot-Executed: 1\r\n\r\n", RouteKind.UNSAFE))
    }

    @Test
    fun `bytes without end that are no response end the call as one that may have run`() {
        assertEquals("502", outcomeOf("xxxx", RouteKind.UNSAFE))
    }

    /** Status of a call whose endpoint sends [start] and then bytes until the connection is closed. */
    private fun outcomeOf(start: String, kind: RouteKind): String {
        ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress()).use { server ->
            val closed = CompletableFuture<Unit>()
            thread(isDaemon = true) { serve(server, start, closed) }
            val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
            val caller = RecordingExchange()
            loop.execute {
                directory.replace(listOf(endpoint("e1").copy(address = address)))
                ProxyCall(call(kind), caller, callServices(group, loop, directory)).start()
            }
            val outcome = checkNotNull(caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "the call did not end" }
            closed.get(WAIT_SECONDS, TimeUnit.SECONDS)
            val state = loop.submit<Double> { directory.all.single().failureRate }.get()
            assertTrue(kind == RouteKind.SAFE || state > 0, "the endpoint is not rated as failing")
            return outcome
        }
    }

    private fun serve(server: ServerSocket, start: String, closed: CompletableFuture<Unit>) {
        while (!server.isClosed) {
            try {
                server.accept().use { socket ->
                    val output = socket.getOutputStream()
                    output.write(start.toByteArray())
                    val block = ByteArray(BLOCK_BYTES) { 'x'.code.toByte() }
                    repeat(MAX_BLOCKS) { output.write(block) }
                }
            } catch (_: IOException) {
                // The daemon closed the connection, as it should.
                closed.complete(Unit)
            }
        }
    }

    private fun call(kind: RouteKind): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", "a1")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList())
        val attributes = checkNotNull(names.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    private companion object {
        /** Longer than the test waits, so a call that ends by its deadline fails the test. */
        val CALL_TIMEOUT: Duration = 60.seconds
        const val WAIT_SECONDS = 20L
        const val CONNECTIONS = 8
        const val BLOCK_BYTES = 65_536

        /** 256 MB, more than a daemon may hold. */
        const val MAX_BLOCKS = 4096
    }
}
