package io.jasmineford.gateway.http

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.noOpLog
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class CallerServerTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private var handled = 0
    private val answered = CompletableFuture<Unit>()
    private val server = CallerServer(group, { LIMITS }, { false }, noOpLog) { _, exchange ->
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        exchange.answer(OK, headers, Unpooled.buffer(LARGE_BYTES).writeZero(LARGE_BYTES))
        handled++
        answered.complete(Unit)
    }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Guards against a planned stop that cuts off answers which their callers have not read in full. */
    @Test
    fun `an answer that its caller reads slowly is not cut off with the idle connections`() {
        server.open(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        Socket().use { socket ->
            socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
            socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            socket.connect(server.address)
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())
            answered.get(WAIT_SECONDS, TimeUnit.SECONDS)
            loop.submit { server.closeIdle() }.get()
            val buffer = ByteArray(BUFFER_BYTES)
            val sizes = generateSequence { socket.getInputStream().read(buffer) }.takeWhile { it >= 0 }
            val total = sizes.runningReduce(Int::plus).firstOrNull { it >= LARGE_BYTES }
            assertTrue(total != null, "the answer was cut off")
            loop.submit { server.closeIdle() }.get()
            assertEquals(-1, generateSequence { socket.getInputStream().read(buffer) }.first { it < 0 })
        }
    }

    /** Guards against callers that wait behind the accept queue, where the loop's lag doesn't show that they wait. */
    @Test
    fun `connections that wait together are accepted before the first of their requests is handled`() {
        val limit = ConnectionLimit()
        val resources = ListenerResources(RejectionLog(noOpLog), connections = limit)
        val accepted = CompletableFuture<Int>()
        val crowded = CallerServer(group, { LIMITS }, { false }, noOpLog, resources) { _, _ ->
            accepted.complete(limit.count)
        }
        crowded.open(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        val arrived = CountDownLatch(1)
        loop.execute { arrived.await() }
        val sockets = List(WAITING_CONNECTIONS) { Socket(crowded.address?.address, crowded.address?.port ?: 0) }
        sockets.forEach { it.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray()) }
        arrived.countDown()
        assertEquals(WAITING_CONNECTIONS, accepted.get(WAIT_SECONDS, TimeUnit.SECONDS))
        sockets.forEach { it.close() }
    }

    /** Guards against callers that have one call after another run and their answers buffered without reading any. */
    @Test
    fun `a pipelined request is handled only when the answers before it have been read`() {
        server.open(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        Socket().use { socket ->
            socket.receiveBufferSize = RECEIVE_BUFFER_BYTES
            socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
            socket.connect(server.address)
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(PIPELINED).toByteArray())
            answered.get(WAIT_SECONDS, TimeUnit.SECONDS)
            // What follows in the same read is handled before the next task.
            assertEquals(1, loop.submit<Int> { handled }.get())
            val buffer = ByteArray(BUFFER_BYTES)
            val sizes = generateSequence { socket.getInputStream().read(buffer) }.takeWhile { it >= 0 }
            assertTrue(sizes.runningReduce(Int::plus).any { it >= PIPELINED * LARGE_BYTES }, "an answer is missing")
            assertEquals(PIPELINED, loop.submit<Int> { handled }.get())
        }
    }

    private companion object {
        const val WAITING_CONNECTIONS = 100
        const val PIPELINED = 3
        const val OK = 200
        const val LARGE_BYTES = 16 * 1024 * 1024
        const val RECEIVE_BUFFER_BYTES = 4096
        const val BUFFER_BYTES = 65_536
        const val WAIT_SECONDS = 20L
        val LIMITS = CallLimits(8192, 65_536, 60.seconds, 60.seconds)
    }
}
