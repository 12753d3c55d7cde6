package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
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
import io.jasmineford.gateway.turn.HistoryChannel
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.TokenEntry
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Streams beside endpoints of two software versions. Guards against a stream that holds events of both. */
class StreamVersionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val history = FakeHistory()
    private val servers = ArrayList<ServerSocket>()

    @AfterTest
    fun stop() {
        servers.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a stream that breaks off goes on at its version only`() {
        val daemon = Daemon(
            server("old", "v1", EVENT_1, isWhole = false),
            server("new", "v2", EVENT_1 + EVENT_2),
            server("old-2", "v1", EVENT_2, isOnlyForResumed = true),
        )
        repeat(CALLS) { index ->
            val caller = daemon.call("a$index")
            caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)
            assertTrue(caller.versions().size <= 1, "call $index got events of ${caller.versions()}")
        }
    }

    @Test
    fun `a stream whose version has no endpoint left is cut off at once`() {
        val daemon = Daemon(server("old", "v1", EVENT_1, isWhole = false))
        val caller = daemon.call("a1", onFirstEvent = { daemon.replace(server("new", "v2", EVENT_1 + EVENT_2)) })
        assertEquals("cut off", caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        assertEquals(setOf("v1"), caller.versions())
    }

    @Test
    fun `a stream that a caller takes up at another daemon goes on at the version that began it`() {
        repeat(CALLS) { index ->
            val endpoints = arrayOf(server("old", "v1", EVENT_1 + EVENT_2), server("new", "v2", EVENT_1 + EVENT_2))
            val first = Daemon(*endpoints).call("a$index")
            assertEquals("end", first.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
            val second = Daemon(*endpoints, zone = "b").call("b$index", resumes = "a$index")
            assertEquals("end", second.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
            assertEquals(first.versions(), second.versions(), "call $index")
        }
    }

    @Test
    fun `a stream of an unknown version is refused while two versions serve`() {
        val daemon = Daemon(server("old", "v1", EVENT_2), server("new", "v2", EVENT_2))
        assertEquals("503", daemon.call("b1", resumes = "a1").outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    @Test
    fun `a stream goes on without a record while one version serves`() {
        val daemon = Daemon(server("old", "v1", EVENT_2))
        assertEquals("end", daemon.call("b1", resumes = "a1").outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** Guards against streams that are lost because a new version joined after they had begun. */
    @Test
    fun `a stream that began while one version served goes on at it beside another one`() {
        repeat(CALLS) { index ->
            val old = server("old", "v1", EVENT_1 + EVENT_2)
            val first = Daemon(old).apply { passTime() }.call("a$index")
            assertEquals("end", first.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
            val joined = Daemon(old, server("new", "v2", EVENT_1 + EVENT_2), zone = "b")
            val second = joined.call("b$index", resumes = "a$index")
            assertEquals("end", second.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
            assertEquals(setOf("v1"), second.versions(), "call $index")
        }
    }

    /** Guards against streams that daemons join after a restart, when the endpoints of their version have left. */
    @Test
    fun `a stream does not go on at the only version that is left`() {
        val first = Daemon(server("old", "v1", EVENT_1 + EVENT_2)).apply { passTime() }.call("a1")
        assertEquals("end", first.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        val restarted = Daemon(server("new", "v2", EVENT_1 + EVENT_2))
        assertEquals("503", restarted.call("b1", resumes = "a1").outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** Guards against streams that a restarted daemon joins before it reaches the history daemons. */
    @Test
    fun `a stream is refused while the history can't be read`() {
        val daemon = Daemon(server("old", "v1", EVENT_2))
        history.isReached = false
        assertEquals("503", daemon.call("b1", resumes = "a1").outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** Guards against sound endpoints and calls that are avoided after an outage of the history daemons. */
    @Test
    fun `an endpoint is not rated as failing when the version of a stream can't be recorded`() {
        val daemon = Daemon(server("old", "v1", EVENT_1 + EVENT_2))
        history.storesVersions = false
        assertEquals("502", daemon.call("a1", waitsForEvent = false).outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        assertEquals(0.0, daemon.failureRate())
        assertEquals(false, daemon.isPoison("a1"))
    }

    /** Guards against streams that a daemon joins whose view of the endpoints is old. */
    @Test
    fun `a daemon that has not heard of a version does not go on with its streams at another one`() {
        val old = server("old", "v1", EVENT_1 + EVENT_2)
        val first = Daemon(server("new", "v2", EVENT_1 + EVENT_2)).call("a1")
        assertEquals("end", first.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        val stale = Daemon(old, zone = "b").apply { passTime() }
        assertEquals("503", stale.call("b1", resumes = "a1").outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        history.isReached = false
        assertEquals("503", stale.call("b2", resumes = "a1").outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
    }

    /** Guards against streams that are lost because their first sending broke off at an endpoint of another version. */
    @Test
    fun `a stream whose first sending had no event goes on at the version of its events`() {
        val endpoints = arrayOf(server("old", "v1", "", isWhole = false), server("new", "v2", EVENT_1 + EVENT_2))
        val first = Daemon(*endpoints).call("a1")
        assertEquals("end", first.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        val second = Daemon(*endpoints, zone = "b").call("b1", resumes = "a1")
        assertEquals("end", second.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS))
        assertEquals(listOf(setOf("v2"), setOf("v2")), listOf(first.versions(), second.versions()))
    }

    private fun RecordingExchange.versions() = parts.map { it.substringAfter("data: ").substringBefore('/') }.toSet()

    private class Server(val name: String, val version: String, val port: Int)

    /**
     * Endpoint that sends [events], each with its version and only those behind the last one that a request names, and
     * ends the response, or breaks it off.
     */
    private fun server(
        name: String,
        version: String,
        events: String,
        isWhole: Boolean = true,
        isOnlyForResumed: Boolean = false,
    ): Server {
        val socket = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress()).also(servers::add)
        thread(isDaemon = true) { serve(socket, events.replace("VERSION", version), isWhole, isOnlyForResumed) }
        return Server(name, version, socket.localPort)
    }

    private fun serve(socket: ServerSocket, events: String, isWhole: Boolean, isOnlyForResumed: Boolean) {
        while (!socket.isClosed) {
            try {
                socket.accept().use { connection ->
                    val reader = connection.getInputStream().bufferedReader()
                    val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
                    val isRefused = isOnlyForResumed && !head.hasHeader(LAST_EVENT)
                    val answer = answerOf(events.behind(head), isWhole)
                    connection.getOutputStream().write(head.response(isRefused, answer).toByteArray())
                }
            } catch (_: IOException) {
                // The daemon has closed the connection, or the test has ended.
            }
        }
    }

    private fun answerOf(body: String, isWhole: Boolean): String {
        val length = body.length + if (isWhole) 0 else 1
        return "Signature: s\r\nConnection: close\r\nContent-Length: $length\r\n\r\n$body"
    }

    /** The events behind the last one that a request with [head] names. */
    private fun String.behind(head: List<String>): String {
        val last = head.firstOrNull { it.startsWith(LAST_EVENT, ignoreCase = true) }?.substringAfter(' ')?.toInt() ?: 0
        return split(EVENT_END).filter { it.idOfEvent() > last }.joinToString("") { it + EVENT_END }
    }

    private fun String.idOfEvent(): Int = removePrefix("id: ").substringBefore('\n').toIntOrNull() ?: 0

    private fun List<String>.hasHeader(name: String) = any { it.startsWith(name, ignoreCase = true) }

    /** Response to the request of this head, with its id. */
    private fun List<String>.response(isRefused: Boolean, answer: String): String {
        val id = first { it.startsWith("Attempt", ignoreCase = true) }
        return if (isRefused) "HTTP/1.1 503 Full\r\n$id\r\n$REFUSAL" else "HTTP/1.1 200 OK\r\n$id\r\n$answer"
    }

    /** A daemon with its own view of the endpoints; all daemons share the history. */
    private inner class Daemon(vararg servers: Server, zone: String = "a") {
        private val system = systemMonotonicClock()
        private var passed = Duration.ZERO
        private val clock = MonotonicClock { system.now() + passed }
        private val directory = EndpointDirectory(clock)
        private val services = callServices(group, loop, directory, history.quorum, zone)

        init {
            replace(*servers)
        }

        /** Lets time pass in which the same endpoints serve. */
        fun passTime() {
            loop.submit { passed += 60.seconds }.get()
        }

        fun replace(vararg servers: Server) {
            val endpoints = servers.map {
                val address = InetSocketAddress(InetAddress.getLoopbackAddress(), it.port)
                val zone = if (it.version == "v1") "a" else "b"
                endpoint(it.name, zone).copy(address = address, version = it.version)
            }
            loop.submit { directory.replace(endpoints) }.get()
        }

        fun failureRate(): Double = loop.submit<Double> { directory.all.maxOf { it.failureRate } }.get()

        fun isPoison(fingerprint: String): Boolean =
            loop.submit<Boolean> { fingerprint in services.poisonCalls.counts() }.get()

        fun call(
            id: String,
            resumes: String? = null,
            waitsForEvent: Boolean = resumes == null,
            onFirstEvent: () -> Unit = {},
        ): RecordingExchange {
            val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
                .add("Attempt", id).add("Program", resumes ?: id).add("Budget", "1000").add("Tokens", "1,1")
            resumes?.let { headers.add("Resumes", it).add("Last-Event-Id", "1") }
            val request = CallerRequest(HttpMethod.POST, "/p/", headers, Unpooled.EMPTY_BUFFER)
            val kind = RouteKind.STREAM
            val plain = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList())
            val route = plain.copy(maxAttempts = 3, isResumable = true)
            val attributes = checkNotNull(headerNames.read(request))
            val call = AdmittedCall(request, attributes, route, null, Service("models"), id, clock.now(), 0)
            val caller = RecordingExchange()
            loop.execute { ProxyCall(call, caller, services).start() }
            if (waitsForEvent) caller.parts.poll(WAIT_SECONDS, TimeUnit.SECONDS)?.let(caller.parts::add)
            onFirstEvent()
            return caller
        }
    }

    /** Three history daemons that hold the same entries. */
    private class FakeHistory {
        private val entries = LinkedHashMap<String, TokenEntry>()
        private val members = List(3) { Member("s$it", 1, "a", "r", isEntry = false, ip = "", peerPort = 1) }
        private val channel = HistoryChannel { _, _, request, onReply ->
            onReply(if (isReached) reply(request) else null)
        }

        @Volatile
        var isReached = true

        @Volatile
        var storesVersions = true
        val quorum = HistoryQuorum({ GroupView(1, majority = 2, members) }, channel) { 0 }

        private fun reply(request: HistoryRequest): HistoryReply = when (request) {
            is HistoryRequest.Reserve -> HistoryReply.Reserved(0, 0).also { put(request.entry) }
            is HistoryRequest.Tokens -> HistoryReply.Tokens(entries.values.filter { it.program == request.program })
            is HistoryRequest.Finish -> finish(request.tokens)
            else -> HistoryReply.Incomplete
        }

        private fun finish(entry: TokenEntry?): HistoryReply {
            if (entry?.tokens == 0 && !storesVersions) return HistoryReply.Incomplete
            entry?.let(::put)
            return HistoryReply.Finished
        }

        private fun put(entry: TokenEntry) {
            entries[entry.attempt] = entry
        }
    }

    private companion object {
        const val EVENT_1 = "id: 1\ndata: VERSION/1\n\n"
        const val EVENT_2 = "id: 2\ndata: VERSION/2\n\n"
        const val EVENT_END = "\n\n"
        const val LAST_EVENT = "Last-Event-Id"
        const val REFUSAL = "Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        const val CALLS = 20
        const val CONNECTIONS = 8
        const val WAIT_SECONDS = 20L
        val CALL_TIMEOUT = 60.seconds
    }
}
