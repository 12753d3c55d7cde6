package io.jasmineford.gateway.call

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
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
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Responses with neither a length nor chunks, which end with their connection. Guards against a broken response that
 * looks complete to its caller, and against a complete one that is not delivered.
 */
class LengthlessResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = systemMonotonicClock()
    private val server = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())
    private val sendings = AtomicInteger()
    private val storedTurns = LinkedBlockingQueue<String>()

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** What the endpoint does after the bytes of its first response. */
    private enum class Ending { CLOSES, RESETS, STAYS_SILENT, SENDS_ON }

    /**
     * One row of the table.
     *
     * @property body what the endpoint sends in its first response, before its [ending].
     * @property outcome what the caller gets in the end.
     * @property runs how often the endpoint gets the call.
     * @property parts parts of the stream that the caller gets.
     */
    private class Case(
        val route: Route,
        val body: String,
        val ending: Ending,
        val outcome: String,
        val runs: Int,
        val parts: String = "",
    ) {
        /** Short for calls that end by it. */
        val timeout: Duration
            get() = if (ending == Ending.STAYS_SILENT && outcome in TIMED_OUT) SHORT_TIMEOUT else CALL_TIMEOUT

        override fun toString() = "${route.name}, $ending after ${body.length} bytes"
    }

    @Test
    fun `a safe call`() = check(
        Case(SAFE, "body", Ending.CLOSES, "200", runs = 1),
        Case(SAFE, "", Ending.CLOSES, "200", runs = 1),
        Case(SAFE, "body", Ending.RESETS, "200", runs = 2),
        Case(SAFE, "body", Ending.STAYS_SILENT, "504", runs = 1),
        Case(SAFE, "body", Ending.SENDS_ON, "200", runs = 2),
    )

    @Test
    fun `an unsafe call`() = check(
        Case(UNSAFE, "body", Ending.CLOSES, "200", runs = 1),
        Case(UNSAFE, "body", Ending.RESETS, "502", runs = 1),
        Case(UNSAFE, "body", Ending.STAYS_SILENT, "504", runs = 1),
        Case(UNSAFE, "body", Ending.SENDS_ON, "502", runs = 1),
    )

    @Test
    fun `a stream`() = check(
        Case(STREAM, EVENT_1 + EVENT_2, Ending.CLOSES, "end", runs = 1, parts = EVENT_1 + EVENT_2),
        Case(STREAM, EVENT_1 + PART, Ending.CLOSES, "cut off", runs = 1, parts = EVENT_1),
        Case(STREAM, PART, Ending.CLOSES, "502", runs = 1),
        Case(STREAM, EVENT_1 + EVENT_2, Ending.RESETS, "cut off", runs = 1, parts = EVENT_1 + EVENT_2),
        Case(STREAM, EVENT_1 + PART, Ending.RESETS, "cut off", runs = 1, parts = EVENT_1),
        Case(STREAM, EVENT_1, Ending.STAYS_SILENT, "cut off", runs = 1, parts = EVENT_1),
        Case(STREAM, EVENT_1 + PART, Ending.SENDS_ON, "cut off", runs = 1, parts = EVENT_1),
    )

    @Test
    fun `a resumable stream`() = check(
        Case(RESUMABLE, EVENT_1 + EVENT_2, Ending.CLOSES, "end", runs = 1, parts = EVENT_1 + EVENT_2),
        Case(RESUMABLE, EVENT_1 + PART, Ending.CLOSES, "end", runs = 2, parts = EVENT_1 + EVENT_2),
        Case(RESUMABLE, PART, Ending.CLOSES, "end", runs = 2, parts = EVENT_2),
        Case(RESUMABLE, EVENT_1, Ending.RESETS, "end", runs = 2, parts = EVENT_1 + EVENT_2),
        Case(RESUMABLE, EVENT_1 + PART, Ending.RESETS, "end", runs = 2, parts = EVENT_1 + EVENT_2),
        Case(RESUMABLE, EVENT_1, Ending.STAYS_SILENT, "cut off", runs = 1, parts = EVENT_1),
        Case(RESUMABLE, EVENT_1 + PART, Ending.SENDS_ON, "end", runs = 2, parts = EVENT_1 + EVENT_2),
    )

    @Test
    fun `a turn is stored once its stream has ended whole`() = check(
        Case(TURN, EVENT_1 + EVENT_2, Ending.CLOSES, "end", runs = 1, parts = EVENT_1 + EVENT_2),
    ).also { assertEquals(listOf("one\ntwo\n"), storedTurns.toList()) }

    @Test
    fun `a turn whose stream broke off is not stored`() = check(
        Case(TURN, EVENT_1 + PART, Ending.CLOSES, "cut off", runs = 1, parts = EVENT_1),
        Case(TURN, EVENT_1 + EVENT_2, Ending.RESETS, "cut off", runs = 1, parts = EVENT_1 + EVENT_2),
    ).also { assertEquals(emptyList(), storedTurns.toList()) }

    /** The reset is then noticed by the daemon's own writing, as a closed connection. */
    @Test
    fun `a reset while the request is still being sent breaks the response off`() = repeat(REPETITIONS) {
        check(Case(UNSAFE, "body", Ending.RESETS, "502", runs = 1), requestBytes = LARGE_REQUEST)
    }

    /** Guards against a wait for a body that doesn't come: the decoder of responses doesn't know the request. */
    @Test
    fun `the response to a HEAD request has no body whatever its length says`() {
        val head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 5\r\n\r\n"
        check(Case(UNSAFE, "", Ending.STAYS_SILENT, "200", runs = 1), head, HttpMethod.HEAD)
    }

    @Test
    fun `responses of the statuses that have no body need no length`() {
        val noContent = "HTTP/1.1 204 No Content\r\nAttempt: a1\r\nSignature: s\r\n\r\n"
        val notModified = "HTTP/1.1 304 Not Modified\r\nAttempt: a1\r\nSignature: s\r\n\r\n"
        check(Case(UNSAFE, "", Ending.STAYS_SILENT, "204", runs = 1), noContent)
        check(Case(UNSAFE, "", Ending.STAYS_SILENT, "304", runs = 1), notModified)
    }

    private fun check(vararg cases: Case) = cases.forEach { check(it) }

    private fun check(
        case: Case,
        head: String = HEAD,
        method: HttpMethod = HttpMethod.POST,
        requestBytes: Int = 0,
    ) {
        sendings.set(0)
        val caller = RecordingExchange()
        val serving = thread(isDaemon = true) { serve(case, head) }
        val directory = EndpointDirectory(clock)
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        val services = callServices(group, loop, directory, quorum())
        loop.execute {
            directory.replace(listOf(endpoint("e1").copy(address = address)))
            ProxyCall(call(case.route.copy(timeout = case.timeout), method, requestBytes), caller, services).start()
        }
        val outcome = checkNotNull(caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "$case did not end" }
        assertEquals(case.outcome, outcome, "$case")
        assertEquals(case.parts, caller.parts.joinToString(""), "$case")
        assertEquals(case.runs, sendings.get(), "$case")
        serving.interrupt()
    }

    private fun serve(case: Case, head: String) {
        try {
            repeat(case.runs) { index ->
                server.accept().use { socket -> serve(socket, case, head, isFirst = index == 0) }
            }
        } catch (_: IOException) {
            // The daemon has closed the connection, or the test has ended.
        }
    }

    private fun serve(socket: Socket, case: Case, head: String, isFirst: Boolean) {
        val reader = socket.getInputStream().bufferedReader()
        while (reader.readLine().isNotEmpty()) Unit
        sendings.incrementAndGet()
        val output = socket.getOutputStream()
        if (!isFirst) {
            output.write((head + if (case.route.kind == RouteKind.STREAM) EVENT_2 else "body").toByteArray())
            return
        }
        output.write((head + case.body).toByteArray())
        when (case.ending) {
            Ending.CLOSES -> Unit
            Ending.RESETS -> socket.setSoLinger(true, 0)
            Ending.STAYS_SILENT -> socket.getInputStream().read()
            Ending.SENDS_ON -> sendOn(socket)
        }
    }

    private fun sendOn(socket: Socket) = try {
        val block = ByteArray(BLOCK_BYTES) { 'x'.code.toByte() }
        repeat(MAX_BLOCKS) { socket.getOutputStream().write(block) }
    } catch (_: IOException) {
        // The daemon closed the connection, as it should.
    }

    private fun call(route: Route, method: HttpMethod, requestBytes: Int): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
            .add("Attempt", "a1").add("Program", "p1").add("Budget", "1000").add("Tokens", "1,1")
        val body = Unpooled.wrappedBuffer(ByteArray(requestBytes))
        val request = CallerRequest(method, "/p/", headers, body)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    /** Three history daemons that store everything; the turns are recorded. */
    private fun quorum(): HistoryQuorum {
        val members = List(3) { Member("s$it", 1, "a", "r", isEntry = false, ip = "", peerPort = 1) }
        return HistoryQuorum({ GroupView(1, majority = 2, members) }, { member, _, request, onReply ->
            val turn = (request as? HistoryRequest.Finish)?.turn
            if (turn != null && member == members.first()) storedTurns.add(String(turn.output))
            onReply(
                when (request) {
                    is HistoryRequest.Reserve -> HistoryReply.Reserved(0, 0)
                    is HistoryRequest.Tokens -> HistoryReply.Tokens(emptyList())
                    is HistoryRequest.Finish -> HistoryReply.Finished
                    else -> HistoryReply.Incomplete
                },
            )
        }) { 0 }
    }

    private companion object {
        const val HEAD = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n"
        const val EVENT_1 = "id: 1\ndata: one\n\n"
        const val EVENT_2 = "id: 2\ndata: two\n\n"
        const val PART = "id: 2\ndata: t"
        val TIMED_OUT = setOf("504", "cut off")
        const val CONNECTIONS = 8
        const val WAIT_SECONDS = 20L
        const val BLOCK_BYTES = 65_536

        /** 256 MB, more than a daemon may hold. */
        const val MAX_BLOCKS = 4096
        const val LARGE_REQUEST = 8 * 1024 * 1024
        const val REPETITIONS = 20

        /** Longer than the test waits, so a call that ends by its deadline fails the test. */
        val CALL_TIMEOUT: Duration = 60.seconds

        /** Time limit of calls that end by it. */
        val SHORT_TIMEOUT: Duration = 300.milliseconds

        fun route(name: String, kind: RouteKind) =
            Route(name, "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList()).copy(maxAttempts = 3)

        val SAFE = route("safe", RouteKind.SAFE)
        val UNSAFE = route("unsafe", RouteKind.UNSAFE)
        val STREAM = route("stream", RouteKind.STREAM)
        val RESUMABLE = route("resumable", RouteKind.STREAM).copy(isResumable = true)
        val TURN = route("turn", RouteKind.STREAM).copy(isStateful = true, retention = 60.seconds)
    }
}
