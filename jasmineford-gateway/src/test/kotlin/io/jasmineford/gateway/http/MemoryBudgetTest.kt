package io.jasmineford.gateway.http

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.noOpLog
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a daemon that runs out of memory because of responses that it holds for others. */
class MemoryBudgetTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val memory = MemoryBudget(LIMIT_BYTES)
    private val sockets = ArrayList<Socket>()
    private val resources = ListenerResources(RejectionLog(noOpLog), unread = memory)
    private val server = CallerServer(group, { LIMITS }, { false }, noOpLog, resources) { request, exchange ->
        val size = if (request.path == "/large") LARGE_BYTES else SMALL_BYTES
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        exchange.answer(OK, headers, Unpooled.buffer(size).writeZero(size))
    }

    @AfterTest
    fun stop() {
        sockets.forEach { it.close() }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `the holder of the most bytes is ended and the limit holds at any time`() {
        val budget = MemoryBudget(limitBytes = 100)
        val ended = ArrayList<String>()
        val holders = listOf("a", "b", "c").associateWith { name -> budget.holder { ended.add(name) } }
        holders.getValue("a").hold(50)
        holders.getValue("b").hold(30)
        holders.getValue("c").hold(20)
        assertEquals(emptyList(), ended)
        holders.getValue("c").hold(21)
        assertEquals(listOf("a"), ended)
        assertEquals(51, budget.heldBytes)
        holders.getValue("b").hold(0)
        assertEquals(21, budget.heldBytes)
    }

    @Test
    fun `a caller that reads is kept beside many that have left smaller answers unread for longer`() {
        val clock = VirtualClock()
        val budget = MemoryBudget(limitBytes = 1000, clock)
        val ended = ArrayList<String>()
        repeat(4) { budget.holder(isAging = true) { ended.add("slow") }.hold(200) }
        clock.advance(500.milliseconds)
        budget.holder(isAging = true) { ended.add("reader") }.hold(400)
        assertEquals(listOf("slow"), ended)
    }

    @Test
    fun `small requests of a group that holds the most are ended before a larger one of another`() {
        val budget = MemoryBudget(limitBytes = 1000)
        val ended = ArrayList<String>()
        repeat(6) { budget.holder { ended.add("group") }.apply { group = "endpoint" }.hold(150) }
        budget.holder { ended.add("other") }.hold(300)
        assertEquals(listOf("group", "group"), ended)
    }

    @Test
    fun `random use keeps the sum of the holders and the limit`() {
        val random = Random(SEED)
        val budget = MemoryBudget(limitBytes = 1000)
        val bytes = LongArray(20)
        val holders = List(bytes.size) { index -> budget.holder { bytes[index] = 0 } }
        repeat(5000) {
            val index = random.nextInt(bytes.size)
            bytes[index] = random.nextLong(300)
            holders[index].hold(bytes[index])
            assertEquals(bytes.sum(), budget.heldBytes, "seed=$SEED")
            assertTrue(budget.heldBytes <= 1000, "seed=$SEED")
        }
    }

    @Test
    fun `callers that do not read are cut off before their answers fill the memory and others are served`() {
        server.open(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        val slow = List(SLOW_CALLERS) { caller().apply { get("/large") } }
        val reader = caller()
        repeat(SLOW_CALLERS) {
            reader.get("/small")
            assertTrue(reader.readAll(SMALL_BYTES) >= SMALL_BYTES)
            assertTrue(loop.submit<Boolean> { memory.heldBytes <= LIMIT_BYTES }.get())
        }
        val whole = slow.count { it.readAll(LARGE_BYTES) >= LARGE_BYTES }
        assertTrue(whole in 1 until SLOW_CALLERS, "whole answers: $whole of $SLOW_CALLERS")
        loop.submit { assertEquals(0, memory.heldBytes) }.get()
    }

    private fun caller() = Socket().apply {
        receiveBufferSize = RECEIVE_BUFFER_BYTES
        soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        connect(server.address)
        sockets.add(this)
    }

    private fun Socket.get(path: String) =
        getOutputStream().write("GET $path HTTP/1.1\r\nHost: h\r\n\r\n".toByteArray())

    /** Reads at least [count] bytes unless the connection ends before; returns the number of bytes read. */
    private fun Socket.readAll(count: Int): Int = try {
        val buffer = ByteArray(BUFFER_BYTES)
        var total = 0
        do {
            val read = getInputStream().read(buffer)
            total += read.coerceAtLeast(0)
        } while (read >= 0 && total < count)
        total
    } catch (_: IOException) {
        0
    }

    private companion object {
        const val SEED = 7
        const val OK = 200
        const val LIMIT_BYTES = 24L * 1024 * 1024
        const val LARGE_BYTES = 8 * 1024 * 1024
        const val SMALL_BYTES = 800
        const val SLOW_CALLERS = 8
        const val RECEIVE_BUFFER_BYTES = 4096
        const val BUFFER_BYTES = 65_536
        const val WAIT_SECONDS = 20L
        val LIMITS = CallLimits(8192, 65_536, 60.seconds, 60.seconds)
    }
}
