package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.http.CallerConnection
import io.jasmineford.gateway.http.CallerHandler
import io.jasmineford.gateway.noOpLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpRequestDecoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpResponseEncoder
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

/** A caller's connection, over which requests are sent in parts before the earlier ones are answered. */
internal class PipelinedCallers(private val random: Random, handler: CallerHandler) {
    private val limits = CallLimits(MAX_BYTES, MAX_BYTES, headerTimeout = 60.seconds, idleTimeout = 60.seconds)
    private val channel = EmbeddedChannel(HttpRequestDecoder(), HttpResponseEncoder()).apply { freezeTime() }
    private val responses = EmbeddedChannel(HttpResponseDecoder())
    private val parts = ArrayDeque<String>()

    init {
        channel.pipeline().addLast(CallerConnection(channel, limits, isClosing = { false }, noOpLog, handler))
    }

    /** Calls that were sent, in their order. */
    val sent = ArrayList<String>()

    /** Whether the connection is open. */
    val isOpen: Boolean get() = channel.isOpen

    /** Sends a request with [body] for the call [id] behind the earlier ones. */
    fun send(id: String, body: String) {
        sent += id
        val request = "POST /p/ HTTP/1.1\r\nHost: h\r\nAttempt: $id\r\nContent-Length: ${body.length}\r\n\r\n$body"
        val place = random.nextInt(request.length)
        parts += listOf(request.take(place), request.drop(place))
    }

    /** Sends the next part of the requests and reads the responses so far. */
    fun advance() {
        channel.runPendingTasks()
        val part = parts.removeFirstOrNull().orEmpty()
        if (isOpen && part.isNotEmpty()) channel.writeInbound(Unpooled.copiedBuffer(part, Charsets.UTF_8))
        generateSequence { channel.readOutbound<ByteBuf>() }.forEach(responses::writeInbound)
    }

    /** What was received: for each response its call, its status, its body, and whether it is complete. */
    fun received(): List<String> {
        val received = ArrayList<String>()
        generateSequence { responses.readInbound<Any>() }.forEach { message ->
            if (message is HttpResponse) received += "${message.headers()["Attempt"]} ${message.status().code()} "
            if (message is HttpContent) received += received.removeLast() + message.content().toString(Charsets.UTF_8)
            if (message is LastHttpContent) received += received.removeLast() + COMPLETE
            ReferenceCountUtil.release(message)
        }
        return received
    }

    companion object {
        /** Ends each complete response in [received]. */
        const val COMPLETE = " (complete)"
        private const val MAX_BYTES = 65_536
    }
}
