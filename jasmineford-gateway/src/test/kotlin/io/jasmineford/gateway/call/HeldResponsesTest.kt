package io.jasmineford.gateway.call

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.http.MemoryBudget
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReply
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
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Many responses at once that are large and don't end. Guards against a daemon that holds all of them, each below the
 * limit of one response, until its memory is full.
 */
class HeldResponsesTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = systemMonotonicClock()
    private val directory = EndpointDirectory(clock)
    private val memory = MemoryBudget(LIMIT_BYTES)
    private val server = ServerSocket(0, CALLS, InetAddress.getLoopbackAddress())

    private val unanswered = ArrayDeque<(HistoryReply?) -> Unit>()

    /** History daemons that don't answer during the test, so that the versions of streams are not recorded. */
    private val silentQuorum = HistoryQuorum(
        view = {
            val names = listOf("a", "b", "c")
            GroupView(1, majority = 2, names.map { Member(it, 1, "a", "r", isEntry = false, ip = "", peerPort = 1) })
        },
        channel = { _, _, _, onReply -> unanswered.add(onReply) },
        wallMillis = { 0 },
    )

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        loop.submit { directory.replace(listOf(endpoint("e1", slots = CALLS * 2).copy(address = address))) }.get()
    }

    @AfterTest
    fun stop() {
        // The calls release what they hold.
        loop.submit { repeat(MAX_REPLIES) { unanswered.removeFirstOrNull()?.invoke(null) } }.get()
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `bodies that hold the memory are broken off and other calls are served`() {
        val services = callServices(group, loop, directory).copy(memory = memory)
        val callers = List(CALLS) { start(services, "/p/large", RouteKind.UNSAFE, it) }
        assertEquals(MUST_END, countOf("502", callers))
        assertEquals("200", start(services, "/p/small", RouteKind.UNSAFE, CALLS).outcome())
        assertTrue(loop.submit<Boolean> { memory.heldBytes <= LIMIT_BYTES }.get())
        assertTrue(loop.submit<Double> { directory.all.single().failureRate }.get() > 0, "the endpoint is not rated")
    }

    @Test
    fun `streams that are held back until their versions are recorded do not fill the memory`() {
        val services = callServices(group, loop, directory, silentQuorum).copy(memory = memory)
        repeat(CALLS) { start(services, "/p/large", RouteKind.STREAM, it) }
        assertEquals("200", start(services, "/p/small", RouteKind.UNSAFE, CALLS).outcome())
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
        while (loop.submit<Boolean> { memory.heldBytes < BODY_BYTES }.get()) {
            check(System.nanoTime() < deadline) { "nothing is held" }
        }
        assertTrue(loop.submit<Boolean> { memory.heldBytes <= LIMIT_BYTES }.get())
    }

    /** Number of [callers] whose calls end with [status], of those that must end. */
    private fun countOf(status: String, callers: List<RecordingExchange>): Int {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
        while (System.nanoTime() < deadline && callers.count { it.outcomes.isNotEmpty() } < MUST_END) {
            Thread.onSpinWait()
        }
        return callers.count { it.outcomes.peek() == status }.coerceAtMost(MUST_END)
    }

    private fun RecordingExchange.outcome() = outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)

    private fun start(services: CallServices, path: String, kind: RouteKind, index: Int): RecordingExchange {
        val caller = RecordingExchange()
        loop.execute { ProxyCall(call(path, kind, "a$index"), caller, services).start() }
        return caller
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
            val isSmall = lines.first().contains("/small")
            val rest = if (isSmall) "Content-Length: 4\r\n\r\ndone" else "\r\n${"x".repeat(BODY_BYTES)}"
            val response = "HTTP/1.1 200 OK\r\nAttempt: $id\r\nSignature: s\r\n$rest"
            getOutputStream().write(response.toByteArray())
        }
    }

    private fun call(path: String, kind: RouteKind, id: String): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", id)
        val request = CallerRequest(HttpMethod.GET, path, headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList())
            .copy(isResumable = kind == RouteKind.STREAM)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    private companion object {
        /** Longer than the test waits, so a call that ends by its deadline fails the test. */
        val CALL_TIMEOUT = 60.seconds
        const val WAIT_SECONDS = 20L
        const val CALLS = 40
        const val MAX_REPLIES = 1000
        const val BODY_BYTES = 600 * 1024
        const val LIMIT_BYTES = 4L * 1024 * 1024

        /** Calls whose bodies don't fit beside those of the others. */
        const val MUST_END = CALLS - (LIMIT_BYTES / BODY_BYTES).toInt()
    }
}
