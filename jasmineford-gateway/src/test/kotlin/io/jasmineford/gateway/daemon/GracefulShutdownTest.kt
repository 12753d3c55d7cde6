package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.call.TestTime
import io.jasmineford.gateway.call.callServices
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.config.WeightedService
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.http.CallerServer
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.settings.PromisedBounds
import io.jasmineford.gateway.store.StoreContact
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.io.BufferedReader
import java.io.IOException
import java.net.ConnectException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A planned stop while callers keep sending. Guards against calls that are taken and passed on late in the grace period
 * and end with a closed connection, which for calls that may not be repeated leaves open whether they have run.
 */
class GracefulShutdownTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val clock = VirtualClock()
    private val scheduler = VirtualScheduler(clock)
    private val directory = EndpointDirectory(clock)
    private val endpoints = ScriptedEndpoint()
    private val callers = ArrayList<Caller>()
    private val services = callServices(group, TestTime(clock, scheduler), directory)
    private val contact = StoreContact(clock) { clock.now().inWholeMilliseconds }
    private val openCalls = OpenCalls(services)
    private val server = CallerServer(
        group = group,
        limits = { LIMITS },
        isClosing = { shutdown.hasBegun },
        log = noOpLog,
        handler = CallerRequestHandler(
            services = services,
            storeState = { StoreState(contact, CONFIG) },
            bounds = BOUNDS,
            openCalls = openCalls,
            accepts = { shutdown.accepts(it) },
        ),
    )
    private val shutdown: GracefulShutdown = GracefulShutdown(clock, scheduler, noOpLog, server, openCalls)
    private var isStopped = false

    init {
        server.open(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        val registered = endpoint("e1", slots = SLOTS).copy(address = endpoints.address)
        loop.submit { directory.replace(listOf(registered)) }.get()
    }

    @AfterTest
    fun stop() {
        callers.forEach { it.socket.close() }
        endpoints.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a call whose body ends late is not passed on when it may outlast the grace period`() {
        val caller = Caller()
        caller.send("POST /long/answer HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nab")
        awaitBusy()
        beginStop()
        advance(4.seconds)
        caller.send("cd")
        val answer = caller.answer()
        assertEquals(503, answer.status)
        assertEquals("0.000", answer.headers["retry-after"])
        assertEquals("close", answer.headers["connection"])
        assertNull(endpoints.received.poll())
    }

    @Test
    fun `a call whose body ends late is served when it ends within the grace period`() {
        val caller = Caller()
        caller.send("POST /short/answer HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nab")
        awaitBusy()
        beginStop()
        advance(4.seconds)
        caller.send("cd")
        assertEquals(200, caller.answer().status)
    }

    @Test
    fun `callers are served until they have learned of the stop`() {
        val kept = Caller().apply { get("/long/answer") }
        assertNull(kept.answer().headers["connection"])
        beginStop()
        advance(2.seconds)
        kept.get("/long/answer")
        val answer = kept.answer()
        assertEquals(200, answer.status)
        assertEquals("close", answer.headers["connection"])
        assertTrue(kept.isClosed())
        assertEquals(200, Caller().apply { get("/long/answer") }.answer().status)
    }

    @Test
    fun `idle connections and the listener are closed once callers have learned of the stop`() {
        val idle = Caller()
        val kept = Caller().apply { get("/long/answer") }
        kept.answer()
        beginStop()
        advance(4.seconds)
        assertTrue(idle.isClosed())
        assertTrue(kept.isClosed())
        assertFailsWith<ConnectException> { Caller() }
        assertTrue(isStopped)
    }

    @Test
    fun `a call in work at the end of the grace period is answered as one that may have run`() {
        val caller = Caller().apply { get("/long/silent") }
        endpoints.awaitRequest()
        beginStop()
        advance(6.seconds)
        assertFalse(isStopped)
        advance(GRACE - 6.seconds - FLUSH)
        assertEquals(504, caller.answer().status)
        assertTrue(caller.isClosed())
    }

    @Test
    fun `a call that waits for an endpoint near the end of the grace period is refused and not passed on`() {
        val busy = List(SLOTS) { Caller().apply { get("/long/silent") } }
        repeat(SLOTS) { endpoints.awaitRequest() }
        val waiting = Caller().apply { get("/long/waits") }
        awaitWaiting()
        beginStop()
        advance(GRACE - FLUSH)
        assertEquals(503, waiting.answer().status)
        assertEquals(List(SLOTS) { 504 }, busy.map { it.answer().status })
        assertNull(endpoints.received.poll())
    }

    @Test
    fun `a stream in work at the end of the grace period is cut off visibly`() {
        val caller = Caller().apply { get("/stream/silent-after-event") }
        assertEquals(200, caller.answer(readsBody = false).status)
        assertTrue(caller.readChunk().startsWith("id: 1"))
        beginStop()
        advance(GRACE - FLUSH)
        assertEquals("", caller.readRest())
    }

    @Test
    fun `a turn that is not stored by the end of the grace period is cut off visibly`() {
        val caller = Caller().apply { get("/turn/whole-stream") }
        assertEquals(200, caller.answer(readsBody = false).status)
        assertTrue(caller.readChunk().startsWith("id: 1"))
        beginStop()
        advance(GRACE - FLUSH)
        assertEquals("", caller.readRest())
    }

    @Test
    fun `a call behind a stream on the same connection is refused when the stream ends late`() {
        val caller = Caller().apply {
            get("/stream/ends-on-signal")
            get("/long/answer")
        }
        assertEquals(200, caller.answer(readsBody = false).status)
        assertTrue(caller.readChunk().startsWith("id: 1"))
        endpoints.awaitRequest()
        beginStop()
        advance(4.seconds)
        endpoints.signal.add(Unit)
        assertEquals("", caller.readChunk())
        assertEquals(503, caller.answer().status)
        assertNull(endpoints.received.poll())
    }

    @Test
    fun `a request that is still being read at the end of the grace period is refused`() {
        val caller = Caller()
        caller.send("POST /long/answer HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\nContent-Length: 4\r\n\r\nab")
        awaitBusy()
        beginStop()
        advance(GRACE - FLUSH)
        assertEquals(503, caller.answer().status)
        assertNull(endpoints.received.poll())
    }

    private fun beginStop() = loop.submit { shutdown.begin(GRACE) { isStopped = true } }.get()

    /** Advances the virtual time in steps, so that what the sockets carry is read between them. */
    private fun advance(time: Duration) {
        repeat((time / STEP).toInt()) { loop.submit { scheduler.advance(STEP) }.get() }
    }

    private fun await(condition: () -> Boolean) {
        val deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
        while (!loop.submit<Boolean> { condition() }.get()) {
            check(System.nanoTime() < deadline) { "the expected state was not reached" }
            Thread.onSpinWait()
        }
    }

    private fun awaitWaiting() = await { services.dispatcher.waiting > 0 }

    private fun awaitBusy() = await { server.openExchanges > 0 }

    private class Answer(val status: Int, val headers: Map<String, String>)

    private inner class Caller {
        val socket = Socket()
        private val reader: BufferedReader

        init {
            socket.connect(checkNotNull(server.address))
            socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
            callers.add(this)
        }

        fun get(path: String) = send("GET $path HTTP/1.1\r\nHost: h\r\nAttempt: a1\r\n\r\n")

        fun send(text: String) = socket.getOutputStream().write(text.toByteArray())

        fun answer(readsBody: Boolean = true): Answer {
            val status = assertNotNull(reader.readLine(), "closed without an answer").split(' ')[1].toInt()
            val headers = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }
                .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
            val length = headers["content-length"]?.toInt() ?: 0
            if (readsBody) read(length)
            return Answer(status, headers)
        }

        /** The next chunk of the body, empty for the last one. */
        fun readChunk(): String {
            val length = assertNotNull(reader.readLine(), "closed without the end of the body").toInt(HEX)
            return read(length).also { reader.readLine() }
        }

        fun readRest(): String = reader.readText()

        fun isClosed(): Boolean = try {
            reader.read() < 0
        } catch (_: IOException) {
            true
        }

        private fun read(length: Int): String {
            val text = StringBuilder()
            while (text.length < length) text.append(reader.read().also { check(it >= 0) { "body cut off" } }.toChar())
            return text.toString()
        }
    }

    /** An endpoint whose answer follows from the last part of the path. */
    private class ScriptedEndpoint {
        private val server = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        val received = LinkedBlockingQueue<String>()
        val signal = LinkedBlockingQueue<Unit>()

        init {
            thread(isDaemon = true) {
                try {
                    while (true) server.accept().let { socket -> thread(isDaemon = true) { serve(socket) } }
                } catch (_: IOException) {
                    // The test has ended.
                }
            }
        }

        fun close() = server.close()

        fun awaitRequest() = assertNotNull(received.poll(WAIT_SECONDS, TimeUnit.SECONDS), "no request at the endpoint")

        private fun serve(socket: Socket) = try {
            socket.use {
                val reader = it.getInputStream().bufferedReader()
                while (true) {
                    val lines = generateSequence { reader.readLine() }.takeWhile(String::isNotEmpty).toList()
                    val target = lines.firstOrNull()?.split(' ')?.get(1) ?: break
                    val length = lines.firstOrNull { line -> line.startsWith("content-length", ignoreCase = true) }
                    repeat(length?.substringAfter(':')?.trim()?.toInt() ?: 0) { reader.read() }
                    received.add(target)
                    respond(target.substringAfterLast('/')) { text -> it.getOutputStream().write(text.toByteArray()) }
                }
            }
        } catch (_: IOException) {
            // The daemon closed the connection.
        }

        private fun respond(script: String, write: (String) -> Unit) {
            when (script) {
                "answer" -> write("${HEAD}Content-Length: 4\r\n\r\ndone")
                "silent-after-event" -> write("${HEAD}Transfer-Encoding: chunked\r\n\r\n$EVENT_CHUNK")
                "whole-stream" -> write("${HEAD}Transfer-Encoding: chunked\r\n\r\n${EVENT_CHUNK}0\r\n\r\n")
                "ends-on-signal" -> {
                    write("${HEAD}Transfer-Encoding: chunked\r\n\r\n$EVENT_CHUNK")
                    signal.poll(WAIT_SECONDS, TimeUnit.SECONDS)
                    write("0\r\n\r\n")
                }
                // Any other script stays without an answer.
                else -> Unit
            }
        }
    }

    private companion object {
        const val SLOTS = 2
        const val CONNECTIONS = 8
        const val WAIT_SECONDS = 20L
        const val HEX = 16
        const val HEAD = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
        const val EVENT_CHUNK = "10\r\nid: 1\ndata: ab\n\n\r\n"
        val GRACE = 7300.milliseconds

        /** Time before the end of the grace period by which the answers have been written. */
        val FLUSH = 100.milliseconds
        val STEP = 50.milliseconds
        val LIMITS = CallLimits(8192, 65_536, 60.seconds, 60.seconds)
        val BOUNDS = PromisedBounds(8.seconds, 5.seconds, false, RateLimitTolerance(5.seconds, 0.1, 20.0))
        val CONFIG = GatewayConfig(
            version = 1,
            routes = listOf(
                route("long", RouteKind.UNSAFE, timeout = 60.seconds),
                route("short", RouteKind.UNSAFE, timeout = 2.seconds),
                route("stream", RouteKind.STREAM, timeout = 60.seconds),
                route("turn", RouteKind.STREAM, timeout = 60.seconds).copy(isStateful = true, retention = 60.seconds),
            ),
            services = listOf(Service("models")),
            accounts = emptyList(),
            limits = LIMITS,
        )

        fun route(name: String, kind: RouteKind, timeout: Duration) =
            Route(name, "h", "/$name/", kind, timeout, 1.seconds, 0, listOf(WeightedService("models", 1)))
    }
}
