package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.http.CallerServer
import io.jasmineford.gateway.noOpLog
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
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
 * Streams that break off after their first event and are sent once more, over real connections. Guards against started
 * responses that neither end nor are cut off, so that callers wait until they give up.
 */
class StartedResponseTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val open = ConcurrentLinkedQueue<AutoCloseable>()

    @AfterTest
    fun stop() {
        open.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a stream that is taken up and ends is complete`() = assertEquals(WHOLE, outcomeOf(EVENT_2_AND_END))

    /** The endpoint that broke off may have had more events: an end alone does not tell that the stream was whole. */
    @Test
    fun `a started stream is cut off when it is taken up without an event`() {
        val noLength = "HTTP/1.1 200 OK\r\n$ID\r\nSignature: s\r\n\r\n"
        val noBody = "HTTP/1.1 200 OK\r\n$ID\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
        val comment = "${HEAD}6\r\n: hi\n\n\r\n$LAST_CHUNK"
        assertEquals(List(4) { CUT_OFF }, listOf(END, noLength, noBody, comment).map { outcomeOf(it) })
    }

    @Test
    fun `a started stream is cut off when it is taken up with something else than events`() {
        val text = "${HEAD}6\r\ntext\n\n\r\n$LAST_CHUNK"
        val textBehindEvent = "${HEAD}f\r\n$EVENT_2\r\n6\r\ntext\n\n\r\n$LAST_CHUNK"
        val otherType = EVENT_2_AND_END.replace(ID, "$ID\r\nContent-Type: text/plain")
        assertEquals(List(3) { CUT_OFF }, listOf(text, textBehindEvent, otherType).map { outcomeOf(it) })
    }

    @Test
    fun `a started stream is cut off when it begins again`() {
        val again = "${HEAD}f\r\n$EVENT_1\r\nf\r\n$EVENT_2\r\n$LAST_CHUNK"
        assertEquals(CUT_OFF, outcomeOf(again))
    }

    @Test
    fun `a stream may name the type of its content`() {
        val types = listOf("text/event-stream", "Text/Event-Stream; charset=utf-8")
        val outcomes = types.map { outcomeOf(EVENT_2_AND_END.replace(ID, "$ID\r\nContent-Type: $it")) }
        assertEquals(List(2) { WHOLE }, outcomes)
    }

    @Test
    fun `a started stream is cut off when its last attempt fails`() {
        val failures = listOf("500 Oh", "502 Oh", "504 Late", "404 None", "400 Bad", "409 No", "429 Busy", "302 Off")
        val outcomes = failures.associateWith { outcomeOf("HTTP/1.1 $it\r\n$ID\r\nContent-Length: 3\r\n\r\nbad") }
        assertEquals(failures.associateWith { CUT_OFF }, outcomes)
    }

    @Test
    fun `a started stream is cut off when its last attempt fails without a length`() =
        assertEquals(CUT_OFF, outcomeOf("HTTP/1.1 500 Oh\r\n$ID\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))

    @Test
    fun `a started stream is cut off when its other attempts are refused`() {
        val refusal = "HTTP/1.1 503 Full\r\n$ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        assertEquals(CUT_OFF, outcomeOf(refusal))
    }

    @Test
    fun `a started stream is cut off when it is answered with a success that is no part of it`() {
        val unsigned = "HTTP/1.1 200 OK\r\n$ID\r\nContent-Length: 0\r\n\r\n"
        val empty = "HTTP/1.1 204 None\r\n$ID\r\nSignature: s\r\n\r\n"
        val noEvent = "HTTP/1.1 200 OK\r\n$ID\r\nSignature: s\r\nContent-Length: 2\r\n\r\n{}"
        assertEquals(List(3) { CUT_OFF }, listOf(unsigned, empty, noEvent).map { outcomeOf(it) })
    }

    @Test
    fun `a started stream is cut off when its last attempt sends no response`() =
        assertEquals(List(2) { CUT_OFF }, listOf("", "no response at all\r\n\r\n").map { outcomeOf(it) })

    @Test
    fun `a started stream is cut off at the deadline of its call`() =
        assertEquals(CUT_OFF, outcomeOf(SILENCE, timeout = 1.seconds))

    @Test
    fun `a started stream is cut off when its last attempt sends a part of an event`() =
        assertEquals(CUT_OFF, outcomeOf("$HEAD$EVENT_2_PART$LAST_CHUNK"))

    /** How a stream ends for its caller whose first attempt breaks off after an event and all others get [response]. */
    private fun outcomeOf(response: String, timeout: Duration = CALL_TIMEOUT): String {
        val system = systemMonotonicClock()
        var passed = Duration.ZERO
        val directory = EndpointDirectory(MonotonicClock { system.now() + passed })
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), endpointOf(response))
        loop.submit {
            directory.replace(listOf(endpoint("e1").copy(address = address)))
            // Without history daemons, streams run only while one software version has served for some time.
            passed += 60.seconds
        }.get()
        val services = callServices(group, loop, directory)
        val limits = CallLimits(MAX_BYTES, MAX_BYTES, headerTimeout = 60.seconds, idleTimeout = 60.seconds)
        val server = CallerServer(group, { limits }, { false }, noOpLog) { request, exchange ->
            ProxyCall(call(request, timeout, services), exchange, services).start()
        }
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        server.open(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        open.add { loop.submit { server.closeIdle() }.get() }
        return Socket(InetAddress.getLoopbackAddress(), port).use(::responseOutcome)
    }

    private fun responseOutcome(socket: Socket): String {
        socket.soTimeout = WAIT.inWholeMilliseconds.toInt()
        socket.getOutputStream().write("POST /p/ HTTP/1.1\r\nHost: h\r\n$ID\r\nContent-Length: 0\r\n\r\n".toByteArray())
        val text = StringBuilder()
        val end = try {
            while (!text.endsWith(LAST_CHUNK)) {
                val byte = socket.getInputStream().read()
                if (byte < 0) break
                text.append(byte.toChar())
            }
            if (text.endsWith(LAST_CHUNK)) WHOLE else CUT_OFF
        } catch (_: SocketTimeoutException) {
            "no end"
        } catch (_: IOException) {
            CUT_OFF
        }
        val heads = text.split("HTTP/1.1 ").size - 1
        return if (heads == 1 && EVENT_1 in text) end else "$end after $heads heads: $text"
    }

    /** Port of an endpoint that breaks the first stream off after an event and sends [response] to later requests. */
    private fun endpointOf(response: String): Int {
        val server = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress()).also(open::add)
        val sendings = AtomicInteger()
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    val bytes = if (sendings.getAndIncrement() == 0) "$HEAD$EVENT_1_CHUNK" else response
                    thread(isDaemon = true) { serve(socket, bytes) }
                }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
        return server.localPort
    }

    private fun serve(socket: Socket, response: String) = socket.use {
        try {
            val reader = it.getInputStream().bufferedReader()
            generateSequence { reader.readLine() }.takeWhile(String::isNotEmpty).count()
            it.getOutputStream().write(response.toByteArray())
            // A silent endpoint keeps the connection open until the daemon closes it.
            if (response == SILENCE) reader.readLine()
        } catch (_: IOException) {
            // The daemon has closed the connection.
        }
    }

    private fun call(request: CallerRequest, timeout: Duration, services: CallServices): AdmittedCall {
        val plain = Route("r", "h", "/p/", RouteKind.STREAM, timeout, 1.seconds, 0, emptyList())
        val route = plain.copy(maxAttempts = 2, isResumable = true)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, null, Service("models"), "f", services.clock.now(), 0)
    }

    private companion object {
        const val WHOLE = "whole"
        const val CUT_OFF = "cut off"
        const val ID = "Attempt: a1"
        const val HEAD = "HTTP/1.1 200 OK\r\n$ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val EVENT_1 = "id: 1\ndata: x\n\n"
        const val EVENT_1_CHUNK = "f\r\n$EVENT_1\r\n"
        const val EVENT_2_PART = "6\r\nid: 2\n\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"
        const val END = "$HEAD$LAST_CHUNK"
        const val EVENT_2 = "id: 2\ndata: y\n\n"
        const val EVENT_2_AND_END = "${HEAD}f\r\n$EVENT_2\r\n$LAST_CHUNK"
        const val SILENCE = " "
        const val MAX_BYTES = 65_536
        const val CONNECTIONS = 8
        val CALL_TIMEOUT = 60.seconds

        /** Shorter than the call's own time limit, so that a call which ends by it fails the test. */
        val WAIT = 10.seconds
    }
}
