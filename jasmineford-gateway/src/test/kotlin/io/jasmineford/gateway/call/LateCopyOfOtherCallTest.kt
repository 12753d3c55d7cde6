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
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * An endpoint that sends a second copy of its refusal of one call before its response to the next call on the same
 * connection. Guards against a refusal of a call that runs, and against a call that is sent again because of it.
 */
class LateCopyOfOtherCallTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = systemMonotonicClock()
    private val runs = ConcurrentLinkedQueue<String>()
    private val server = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
    }

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a late copy of the refusal of one call neither refuses nor repeats another call of the program`() {
        val directory = EndpointDirectory(clock)
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        val services = callServices(group, loop, directory)
        loop.submit { directory.replace(listOf(endpoint("e1").copy(address = address))) }.get()
        assertEquals("503", outcomeOf(services, "refused"))
        repeat(CALLS) { assertEquals("200", outcomeOf(services, "runs-$it")) }
        assertEquals(List(CALLS) { "runs-$it" }, runs.toList())
    }

    private fun outcomeOf(services: CallServices, id: String): String? {
        val caller = RecordingExchange()
        loop.execute { ProxyCall(call(id), caller, services).start() }
        return caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun serve(socket: Socket) = try {
        socket.use { it.respondToAll() }
    } catch (_: IOException) {
        // The daemon closed the connection.
    }

    private fun Socket.respondToAll() {
        val reader = getInputStream().bufferedReader()
        while (true) {
            val lines = generateSequence { reader.readLine() }.takeWhile(String::isNotEmpty).toList()
            val id = lines.firstOrNull { it.startsWith("Attempt") }?.substringAfter(": ") ?: return
            val isRun = id != "refused"
            if (isRun) runs.add(id)
            val success = "HTTP/1.1 200 OK\r\nAttempt: $id\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"
            getOutputStream().write((if (isRun) REFUSAL + success else REFUSAL).toByteArray())
        }
    }

    private fun call(id: String): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", id).add("Program", "p")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", RouteKind.UNSAFE, CALL_TIMEOUT, 1.seconds, 0, emptyList())
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    private companion object {
        const val REFUSAL = "HTTP/1.1 503 Full\r\nAttempt: refused\r\nNot-Executed: 1\r\nKeep-Alive: timeout=9\r\n" +
            "Content-Length: 0\r\n\r\n"
        val CALL_TIMEOUT = 60.seconds
        const val WAIT_SECONDS = 20L
        const val CONNECTIONS = 8
        const val CALLS = 4
    }
}
