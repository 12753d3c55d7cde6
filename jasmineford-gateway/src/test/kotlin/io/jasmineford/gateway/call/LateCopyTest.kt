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
import kotlin.time.Duration
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

    /** Guards against a stream that holds events of a run which its endpoint has reported as failed. */
    @Test
    fun `the late response to an earlier sending of a stream is not joined to its events`() {
        val caller = RecordingExchange()
        val sendings = listOf(
            Sending("$HEAD${chunk("id: 1\ndata: run 1")}", isCutOff = true),
            Sending(FAILURE, late = "$HEAD${chunk("id: 2\ndata: run 2")}$LAST_CHUNK"),
            Sending("$HEAD${chunk("id: 2\ndata: run 3")}$LAST_CHUNK"),
        )
        assertEquals("end", outcomeOf(sendings, RouteKind.STREAM, caller))
        assertEquals(listOf("run 1", "run 3"), caller.parts.map { it.substringAfter("data: ").trim() })
    }

    /** Status of a call whose endpoint answers it with [first] once, and copies that before it runs the call. */
    private fun outcomeOf(first: String, kind: RouteKind): String =
        outcomeOf(listOf(Sending(first, late = first), Sending(SUCCESS)), kind, RecordingExchange())

    /** Outcome of a call whose sendings get the responses of [script], the last of them from then on. */
    private fun outcomeOf(script: List<Sending>, kind: RouteKind, caller: RecordingExchange): String {
        val sendings = AtomicInteger()
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    serving.add(thread(isDaemon = true) { serve(socket, script, sendings) })
                }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
        var passed = Duration.ZERO
        val directory = EndpointDirectory(MonotonicClock { clock.now() + passed })
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        val services = callServices(group, loop, directory)
        loop.execute {
            directory.replace(listOf(endpoint("e1").copy(address = address)))
            // Without history daemons, streams run only while one software version has served for some time.
            passed += 60.seconds
            ProxyCall(call(kind), caller, services).start()
        }
        val outcome = checkNotNull(caller.outcomes.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "the call did not end" }
        // The endpoint reads all that was sent, up to the end of each connection.
        loop.execute { services.sender.keepOnly(emptySet()) }
        serving.forEach { it.join(WAIT_SECONDS.seconds.inWholeMilliseconds) }
        return outcome
    }

    private fun serve(socket: Socket, script: List<Sending>, sendings: AtomicInteger) = socket.use {
        val reader = it.getInputStream().bufferedReader()
        var late = ""
        while (generateSequence { reader.readLine() }.takeWhile(String::isNotEmpty).count() > 0) {
            val sending = script[sendings.getAndIncrement().coerceAtMost(script.lastIndex)]
            if (sending === script.last()) runs.incrementAndGet()
            it.getOutputStream().write((late + sending.response).toByteArray())
            late = sending.late
            if (sending.isCutOff) return
        }
    }

    /**
     * One sending of a call to the endpoint.
     *
     * @property late second response, which comes when the connection carries a request again.
     */
    private class Sending(val response: String, val late: String = "", val isCutOff: Boolean = false)

    private fun chunk(event: String) = "${(event.length + 2).toString(radix = 16)}\r\n$event\n\n\r\n"

    private fun call(kind: RouteKind): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", "a1")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", kind, CALL_TIMEOUT, 1.seconds, 0, emptyList()).copy(maxAttempts = 3, isResumable = kind == RouteKind.STREAM)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", clock.now(), 0)
    }

    private companion object {
        const val REFUSAL =
            "HTTP/1.1 503 Full\r\nAttempt: a1\r\nNot-Executed: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"
        const val FAILURE = "HTTP/1.1 500 Oh\r\nAttempt: a1\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n"
        const val SUCCESS = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"
        const val HEAD = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"
        val CALL_TIMEOUT = 60.seconds
        const val WAIT_SECONDS = 20L
        const val CONNECTIONS = 8
    }
}
