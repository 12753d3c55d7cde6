package io.jasmineford.gateway.http

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.noOpLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.buffer.Unpooled.EMPTY_BUFFER
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpResponseEncoder
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against requests that take more memory than a daemon has, in heads, trailers, bodies or whole. */
class RequestMemoryTest {
    private val budget = MemoryBudget(LIMIT_BYTES)
    private val resources = ListenerResources(RejectionLog(noOpLog), requests = budget)
    private val exchanges = ArrayList<CallerExchange>()
    private val limits = CallLimits(HEAD_BYTES, MAX_BODY_BYTES, headerTimeout = 60.seconds, idleTimeout = 60.seconds)

    private fun connect(): EmbeddedChannel {
        val channel = EmbeddedChannel()
        val connection = CallerConnection(channel, limits, { false }, noOpLog, resources) { _, exchange ->
            exchanges.add(exchange)
        }
        val decoder = RequestDecoder(limits.maxHeaderBytes, connection.footprint)
        channel.pipeline().addLast(decoder, HttpResponseEncoder(), connection)
        return channel
    }

    private fun EmbeddedChannel.send(text: String) = apply {
        writeInbound(Unpooled.copiedBuffer(text, Charsets.ISO_8859_1))
        runPendingTasks()
    }

    @Test
    fun `the objects of header lines count, also in heads and trailers that are incomplete`() {
        connect().send(START + LINE.repeat(1000))
        assertTrue(budget.heldBytes > 1000 * LINE_OBJECT_BYTES, "${budget.heldBytes}")
        val before = budget.heldBytes
        connect().send("${START}Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + LINE.repeat(1000))
        assertTrue(budget.heldBytes - before > 1000 * LINE_OBJECT_BYTES, "${budget.heldBytes}")
    }

    @Test
    fun `a request counts until it has been answered, and nothing is held when its connection ends`() {
        val channel = connect().send(START + LINE.repeat(1000) + "\r\n")
        assertTrue(budget.heldBytes > 1000 * LINE_OBJECT_BYTES)
        exchanges.single().abort()
        assertEquals(0, budget.heldBytes)
        assertFalse(channel.isOpen)
        connect().send(START + LINE).close()
        connect().send("${START}Content-Length: 9\r\n\r\n1234").close()
        connect().send("$START\r\n".repeat(3)).close()
        assertEquals(0, budget.heldBytes)
    }

    /** Guards against a limit that a single caller reaches. */
    @Test
    fun `the largest request with the most lines is handled`() {
        val length = "Content-Length: $MAX_BODY_BYTES\r\n"
        val head = START + length + "a:\r\n".repeat((HEAD_BYTES - START.length - length.length) / 4)
        val channel = connect().send("$head\r\n")
        repeat(MAX_BODY_BYTES / READ_BYTES) { channel.send("x".repeat(READ_BYTES)) }
        assertEquals(1, exchanges.size)
        assertTrue(channel.isOpen)
    }

    @Test
    fun `the connection that reads most is refused first, then the largest request in work`() {
        val small = connect().send("$START\r\n")
        val large = connect().send("${START}Content-Length: $MAX_BODY_BYTES\r\n\r\n" + "x".repeat(MAX_BODY_BYTES))
        val reading = connect().send("${START}Content-Length: $MAX_BODY_BYTES\r\n\r\n" + "x".repeat(MAX_BODY_BYTES - 1))
        val next = connect().send("${START}Content-Length: 600000\r\n\r\n" + "x".repeat(500_000))
        assertFalse(reading.isOpen)
        assertTrue(listOf(small, large, next).all { it.isOpen })
        assertEquals(1, resources.rejections.count(RejectionReason.REQUEST_MEMORY))
        assertTrue(budget.heldBytes <= LIMIT_BYTES)
    }

    /** Guards against an endpoint that reads slowly and thereby shuts out the callers of others. */
    @Test
    fun `requests for an endpoint that does not read give way to larger ones for others and are answered`() {
        val start = "${START}Content-Length: "
        val deaf = List(DEAF_REQUESTS) {
            connect().send("${start}600000\r\n\r\n" + "x".repeat(600_000)).also {
                val exchange = exchanges.last()
                exchange.holdFor("deaf") {
                    exchange.answer(UNAVAILABLE, DefaultHttpHeadersFactory.headersFactory().newHeaders(), EMPTY_BUFFER)
                }
            }
        }
        val other = connect().send("${start}900000\r\n\r\n" + "x".repeat(900_000))
        assertTrue(other.isOpen)
        assertEquals(DEAF_REQUESTS + 1, exchanges.size)
        val ended = deaf.filter { !it.isOpen }
        assertTrue(ended.isNotEmpty())
        ended.forEach { assertTrue("503" in it.readOutbound<ByteBuf>().toString(Charsets.ISO_8859_1)) }
        (deaf + other).forEach { it.close() }
    }

    private companion object {
        const val UNAVAILABLE = 503

        /** They fit as long as there is nothing else. */
        const val DEAF_REQUESTS = 13
        const val LIMIT_BYTES = 8L * 1024 * 1024
        const val HEAD_BYTES = 16_384
        const val MAX_BODY_BYTES = 4_194_304
        const val READ_BYTES = 16_384
        const val LINE_OBJECT_BYTES = 127
        const val START = "POST /p/ HTTP/1.1\r\nHost: h\r\n"
        const val LINE = "a1:\r\n"
    }
}
