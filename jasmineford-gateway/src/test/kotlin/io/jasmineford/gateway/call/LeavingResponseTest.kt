package io.jasmineford.gateway.call

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.noOpLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Calls to endpoints whose responses say that they are leaving, and to endpoints whose registration ends. Guards
 * against requests that reach such an endpoint, on any way that leads to it.
 */
class LeavingResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val system = systemMonotonicClock()
    private var passed = Duration.ZERO
    private val directory = EndpointDirectory { system.now() + passed }
    private val reader = LeavingReader(headerNames, noOpLog, directory::recordLeaving)
    private val sender = EndpointSender(
        group = group,
        clock = system,
        names = headerNames,
        onHead = { state, head, _ -> reader.read(state, head) },
        isUsable = directory::isUsable,
    )
    private val services = callServices(group, loop, directory).copy(sender = sender)
    private val servers = ArrayList<ServerSocket>()

    init {
        // The endpoints have had one version for longer than a stream lasts, so no records are needed.
        passed = 60.seconds
    }

    @AfterTest
    fun stop() {
        servers.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `after a response that says so calls go to another endpoint`() {
        val first = Server("e1", zone = "a") { "200 OK\r\n$it\r\nLeaving: 1\r\n$BODY" }
        val second = Server("e2", zone = "b") { "200 OK\r\n$it\r\n$BODY" }
        register(first.endpoint, second.endpoint)
        repeat(5) { assertEquals("200", outcomeOf("a$it")) }
        assertEquals(listOf("a0"), first.requests.toList())
        assertEquals(List(4) { "a${it + 1}" }, second.requests.toList())
    }

    @Test
    fun `after a response of the last endpoint calls are refused as not run`() {
        val last = Server("e1") { "200 OK\r\n$it\r\nLeaving: 1\r\n$BODY" }
        register(last.endpoint)
        assertEquals("200", outcomeOf("a0"))
        repeat(3) { assertEquals("503", outcomeOf("b$it")) }
        assertEquals(listOf("a0"), last.requests.toList())
    }

    @Test
    fun `a refusal that says so is not followed by a retry at the same endpoint`() {
        val last = Server("e1") { "503 Full\r\n$it\r\nNot-Executed: 1\r\nLeaving: 1\r\n$EMPTY" }
        register(last.endpoint)
        assertEquals("503", outcomeOf("a0"))
        assertEquals(listOf("a0"), last.requests.toList())
    }

    @Test
    fun `a stream whose head says so runs to its end`() {
        val last = Server("e1") { "200 OK\r\n$it\r\nLeaving: 1\r\n$STREAM" }
        register(last.endpoint)
        assertEquals("end", outcomeOf("a0", RouteKind.STREAM))
        assertEquals("503", outcomeOf("a1", RouteKind.STREAM))
        assertEquals(listOf("a0"), last.requests.toList())
    }

    @Test
    fun `a stream that breaks off goes on at another endpoint`() {
        val first = Server("e1", zone = "a") { "200 OK\r\n$it\r\nLeaving: 1\r\n$BROKEN_STREAM" }
        val second = Server("e2", zone = "b") { "200 OK\r\n$it\r\n${STREAM.replace(EVENT, NEXT_EVENT)}" }
        register(first.endpoint, second.endpoint)
        assertEquals("end", outcomeOf("a0", RouteKind.STREAM))
        assertEquals(listOf("a0"), first.requests.toList())
        assertEquals(listOf("a0"), second.requests.toList())
    }

    @Test
    fun `a stream that breaks off at the last endpoint is cut off`() {
        val last = Server("e1") { "200 OK\r\n$it\r\nLeaving: 1\r\n$BROKEN_STREAM" }
        register(last.endpoint)
        assertEquals("cut off", outcomeOf("a0", RouteKind.STREAM))
        assertEquals(listOf("a0"), last.requests.toList())
    }

    /** An endpoint may send an extra response where the next one is expected. */
    @Test
    fun `a response to another call does not count`() {
        val server = Server("e1") { "200 OK\r\nAttempt: z9\r\nLeaving: 1\r\n$BODY" }
        register(server.endpoint)
        assertEquals("502", outcomeOf("a0"))
        assertEquals("502", outcomeOf("a1"))
        assertEquals(listOf("a0", "a1"), server.requests.toList())
    }

    @Test
    fun `a call that was placed before such a response is not sent after it`() =
        assertNotSentAfter { directory.recordLeaving(directory.all.single()) }

    @Test
    fun `a call that was placed before its endpoint drained is not sent after it`() =
        assertNotSentAfter { directory.replace(directory.all.map { it.endpoint.copy(isDraining = true) }) }

    @Test
    fun `a call that was placed before its endpoint was removed is not sent after it`() =
        assertNotSentAfter { directory.replace(emptyList()) }

    @Test
    fun `a call that was placed before its endpoint was replaced is not sent to the new process`() =
        assertNotSentAfter { directory.replace(directory.all.map { it.endpoint.copy(startedAtMillis = 2) }) }

    @Test
    fun `a call that was placed before its availability zone was evacuated is not sent after it`() =
        assertNotSentAfter { directory.evacuate(setOf("a")) }

    /** Asserts that an attempt whose connection is being opened during [change] is not sent. */
    private fun assertNotSentAfter(change: () -> Unit) {
        val server = Server("e1") { "200 OK\r\n$it\r\n$BODY" }
        register(server.endpoint)
        val outcomes = LinkedBlockingQueue<String>()
        loop.submit {
            val attempt = EndpointAttempt(directory.all.single(), Outcomes(outcomes))
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            services.sender.send(attempt, call("a0", RouteKind.UNSAFE), headers, Unpooled.EMPTY_BUFFER)
            assertNull(outcomes.peek(), "the connection was open at once")
            change()
        }.get()
        assertEquals("not sent", outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        assertEquals(emptyList(), server.requests.toList())
    }

    private fun register(vararg endpoints: Endpoint) {
        loop.submit { directory.replace(endpoints.toList()) }.get()
    }

    private fun outcomeOf(id: String, kind: RouteKind = RouteKind.UNSAFE): String {
        val caller = RecordingExchange()
        loop.execute { ProxyCall(call(id, kind), caller, services).start() }
        return checkNotNull(caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "the call did not end" }
    }

    private fun call(id: String, kind: RouteKind): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", id)
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val isStream = kind == RouteKind.STREAM
        val route = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList())
            .copy(maxAttempts = 3, isResumable = isStream)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), id, services.clock.now(), 0)
    }

    /** Endpoint that answers each request by [response] to the header line with its id. */
    private inner class Server(name: String, zone: String = "a", private val response: (String) -> String) {
        private val socket = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress()).also(servers::add)
        private val address = InetSocketAddress(InetAddress.getLoopbackAddress(), socket.localPort)
        val requests = LinkedBlockingQueue<String>()
        val endpoint = endpoint(name, zone).copy(address = address, startedAtMillis = 1)

        init {
            thread(isDaemon = true) { while (!socket.isClosed) serve() }
        }

        private fun serve() {
            try {
                socket.accept().use { connection ->
                    val reader = connection.getInputStream().bufferedReader()
                    val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
                    val id = head.firstOrNull { it.startsWith("Attempt", ignoreCase = true) } ?: return
                    requests.add(id.substringAfter(':').trim())
                    connection.getOutputStream().write("HTTP/1.1 ${response(id)}".toByteArray())
                }
            } catch (_: IOException) {
                // The daemon has closed the connection, or the test has ended.
            }
        }
    }

    private class Outcomes(private val outcomes: LinkedBlockingQueue<String>) : AttemptHandler {
        override fun notSent(reason: String) {
            outcomes.add("not sent")
        }

        override fun notExecuted(status: Int) {
            outcomes.add("not executed")
        }

        override fun head(head: ResponseHead) = Unit

        override fun data(data: ByteBuf) = Unit

        override fun end(took: Duration) {
            outcomes.add("end")
        }

        override fun broken(reason: String) {
            outcomes.add("broken")
        }

        override fun abandoned(reason: String) {
            outcomes.add("abandoned")
        }
    }

    private companion object {
        const val BODY = "Signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        const val EMPTY = "Connection: close\r\nContent-Length: 0\r\n\r\n"
        const val EVENT = "id: 1\ndata: 1\n\n"
        const val NEXT_EVENT = "id: 2\ndata: 2\n\n"
        const val STREAM = "Signature: s\r\nConnection: close\r\nContent-Length: ${EVENT.length}\r\n\r\n$EVENT"
        const val BROKEN_STREAM = "Signature: s\r\nConnection: close\r\nContent-Length: 100\r\n\r\n$EVENT"
        const val CONNECTIONS = 8
        const val WAIT_SECONDS = 20L

        /** Longer than the test waits, so a call that ends by its deadline fails the test. */
        val CALL_TIMEOUT: Duration = 60.seconds
    }
}
