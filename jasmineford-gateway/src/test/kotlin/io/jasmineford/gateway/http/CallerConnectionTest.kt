package io.jasmineford.gateway.http

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.noOpLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseEncoder
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Responses over one connection. Guards against connections that stay open without the end of a response. */
class CallerConnectionTest {
    private val limits = CallLimits(MAX_BYTES, MAX_BYTES, headerTimeout = 60.seconds, idleTimeout = 60.seconds)
    private lateinit var exchange: CallerExchange
    private var disconnects = 0

    @Test
    fun `a response in parts ends with its last part`() {
        val channel = connection()
        exchange.startAnswer(OK, headers())
        exchange.sendPart(bytes("one"))
        exchange.endAnswer()
        assertTrue(channel.sent().endsWith("3\r\none\r\n0\r\n\r\n"))
        assertTrue(channel.isActive)
    }

    @Test
    fun `a complete response to a request whose response has started cuts the connection`() {
        val channel = connection()
        exchange.startAnswer(OK, headers())
        exchange.sendPart(bytes("one"))
        exchange.answer(FAILURE, headers(), bytes("two"))
        val sent = channel.sent()
        assertEquals(1, sent.split("HTTP/1.1 ").size - 1, sent)
        assertFalse(sent.endsWith("0\r\n\r\n"), sent)
        assertFalse(channel.isActive)
    }

    @Test
    fun `a response that can't be written cuts the connection`() {
        val channel = connection()
        channel.pipeline().addBefore("connection", "failing", FailingWrites())
        exchange.answer(OK, headers(), bytes("one"))
        channel.runPendingTasks()
        assertFalse(channel.isActive)
    }

    @Test
    fun `a head that can't be written cuts the connection and ends the call`() {
        val channel = connection()
        channel.pipeline().addBefore("connection", "failing", FailingWrites())
        exchange.startAnswer(OK, headers())
        exchange.sendPart(bytes("one"))
        channel.runPendingTasks()
        assertFalse(channel.isActive)
        assertEquals(1, disconnects)
    }

    @Test
    fun `a request that is cut at any byte is not handled when its connection ends`() {
        val head = "POST /p/ HTTP/1.1\r\nHost: h\r\n"
        val requests = listOf(
            head + "Content-Length: 9\r\n\r\nGET / HTT",
            head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\none",
            head + "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n1\r\n2\r\n0\r\nTrailer: t\r\n\r\n",
        )
        val whole = "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n"
        requests.forEach { request ->
            assertEquals(2, handledOf(whole + request), request)
            request.indices.forEach { cut -> assertEquals(1, handledOf(whole + request.take(cut)), request.take(cut)) }
        }
    }

    /** Number of requests that are handled until a connection ends on which [text] is sent. */
    private fun handledOf(text: String): Int {
        var handled = 0
        val channel = EmbeddedChannel(HttpRequestDecoder(), HttpResponseEncoder())
        val handler = CallerHandler { _, opened ->
            handled++
            opened.answer(OK, headers(), Unpooled.EMPTY_BUFFER)
        }
        channel.pipeline().addLast(CallerConnection(channel, limits, isClosing = { false }, noOpLog, handler))
        channel.writeInbound(bytes(text))
        channel.finishAndReleaseAll()
        return handled
    }

    @Test
    fun `a response to a HEAD request has no body, whatever its length says`() {
        val channel = connection("HEAD /p/ HTTP/1.1\r\nHost: h\r\n\r\n")
        exchange.answer(OK, headers(), bytes("one"))
        assertEquals("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n", channel.sent())
    }

    /** Guards against an incomplete request that is never given up, as the answer before it took over its timer. */
    @Test
    fun `a request that stays incomplete behind an answered one is refused in time`() {
        val start = "GET /p/ HTTP/1.1\r\nHost: h\r\n"
        val channel = connection("$start\r\n${start}Content-Length: 3\r\n\r\n1")
        exchange.answer(OK, headers(), bytes("one"))
        channel.advanceTimeBy(limits.headerTimeout.inWholeSeconds + 1, TimeUnit.SECONDS)
        channel.runScheduledPendingTasks()
        assertTrue("HTTP/1.1 408" in channel.sent())
        assertFalse(channel.isActive)
    }

    private fun connection(request: String = "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n"): EmbeddedChannel {
        val channel = EmbeddedChannel(HttpRequestDecoder(), HttpResponseEncoder())
        val connection = CallerConnection(channel, limits, isClosing = { false }, noOpLog) { _, opened ->
            exchange = opened
            opened.onDisconnect = { disconnects++ }
        }
        channel.pipeline().addLast("connection", connection)
        channel.writeInbound(bytes(request))
        return channel
    }

    private fun EmbeddedChannel.sent(): String {
        runPendingTasks()
        return generateSequence { readOutbound<ByteBuf>() }.joinToString("") { part ->
            part.toString(Charsets.ISO_8859_1).also { part.release() }
        }
    }

    private fun bytes(text: String): ByteBuf = Unpooled.copiedBuffer(text, Charsets.ISO_8859_1)

    private fun headers() = DefaultHttpHeadersFactory.headersFactory().newHeaders()

    private class FailingWrites : ChannelOutboundHandlerAdapter() {
        override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
            check(message !is HttpResponse) { "the head can't be encoded" }
            context.write(message, promise)
        }
    }

    private companion object {
        const val MAX_BYTES = 65_536
        const val OK = 200
        const val FAILURE = 500
    }
}
