package io.jasmineford.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives one response. Unless the exchange is aborted, the last call is exactly one of [onEnd] and [onFailure]. */
interface ResponseListener {
    /** What the response has to bear; null when the server has no ids. */
    val identity: ResponseIdentity? get() = null

    /** Receives status and headers, and what they tell of the request. */
    fun onHead(head: HttpResponse, meaning: ResponseMeaning)

    /** Receives a part of the body; [data] is valid during the call only. */
    fun onData(data: ByteBuf)

    /** Called when the response is complete. */
    fun onEnd()

    /** Called when the connection was lost or violated the protocol before the response was complete. */
    fun onFailure(reason: String)
}

/**
 * An HTTP/1.1 connection that carries one request at a time. Used on its event loop only.
 *
 * @param onUnmatched gets the head of each response that belongs to no request; interim responses are not reported.
 */
class HttpClientConnection internal constructor(
    private val channel: Channel,
    private val onUnmatched: (HttpClientConnection, HttpResponse) -> Unit = { _, _ -> },
) {
    /** Number by which log lines name the connection; unique in the process. */
    val number: Long = lastNumber.incrementAndGet()

    /** Whether a request waits for its response. */
    val isBusy: Boolean get() = matcher.isBusy

    /** Number of reads in which the latest response arrived. */
    val reads: Int get() = matcher.reads

    private val matcher = ResponseMatcher()
    private var listener: ResponseListener? = null
    private var isWritten = true
    private var isKeptAlive = true

    /** Idle timeout from the `Keep-Alive` header of the latest response; null when it had none. */
    var idleTimeoutSeconds: Int? = null
        private set

    /** Whether another request may be sent. */
    val isReusable: Boolean get() = channel.isActive && isWritten && isKeptAlive && matcher.isReusable

    /** Adds the connection's handlers to its channel. */
    internal fun install() {
        channel.pipeline().addLast(HttpRequestEncoder(), ResponseDecoder(matcher), Handler())
    }

    /**
     * Sends [request] and takes over the reference to it; throws [IllegalStateException] while a request is in flight.
     */
    fun send(request: FullHttpRequest, listener: ResponseListener) {
        matcher.requestSent(listener.identity, request.method())
        this.listener = listener
        isWritten = false
        channel.writeAndFlush(request).addListener { write ->
            isWritten = write.isSuccess
            if (!isWritten && this.listener === listener) fail("request not written: ${write.cause()?.message}")
        }
    }

    /** Closes the connection without a call to the listener. */
    fun abort() {
        listener = null
        close()
    }

    private fun readHead(head: HttpResponse) {
        when (val verdict = matcher.headArrived(head)) {
            is HeadVerdict.Own -> {
                isKeptAlive = HttpUtil.isKeepAlive(head)
                idleTimeoutSeconds = head.headers()["Keep-Alive"]?.substringAfter("timeout=", "")
                    ?.takeWhile { it.isDigit() }?.toIntOrNull()
                listener?.onHead(head, verdict.meaning)
            }
            is HeadVerdict.Interim -> Unit
            is HeadVerdict.Unmatched -> {
                onUnmatched(this, head)
                if (!isBusy) fail("response without a request")
            }
            is HeadVerdict.Invalid -> fail(verdict.reason)
        }
    }

    private fun readContent(content: HttpContent) {
        val current = listener ?: return
        val data = content.content()
        when (matcher.bodyArrived(data)) {
            BodyVerdict.OWN -> if (data.isReadable) current.onData(data)
            BodyVerdict.UNMATCHED -> if (matcher.hasSkippedTooMuch) fail("responses to other requests without end")
            BodyVerdict.INTERRUPTED -> fail(Interruption.RESPONSE.reason)
        }
        // The listener may have aborted the exchange in onData.
        if (content is LastHttpContent && listener === current && matcher.endArrived(content.trailingHeaders())) {
            if (!isWritten) matcher.taint()
            // Bytes behind the response, and the end of the connection, may have arrived together with it.
            if (matcher.mayBeInterrupted) {
                channel.eventLoop().schedule(::deliverEnd, NEXT_BYTES_WAIT_MILLIS, TimeUnit.MILLISECONDS)
            } else {
                channel.eventLoop().execute(::deliverEnd)
            }
        }
    }

    /** Passes on the end of a complete response, once. */
    private fun deliverEnd() {
        if (!matcher.isEnded) return
        val current = listener
        listener = null
        matcher.requestDone()
        val interruption = matcher.interruption
        if (interruption == null) {
            current?.onEnd()
        } else {
            channel.close()
            current?.onFailure(interruption.reason)
        }
    }

    private fun fail(reason: String) {
        matcher.taint()
        if (matcher.isEnded) {
            channel.close()
            deliverEnd()
            return
        }
        val current = listener
        listener = null
        matcher.requestDone()
        channel.close()
        current?.onFailure(reason)
    }

    /** Closes an idle connection. */
    fun close() {
        matcher.taint()
        channel.close()
    }

    private inner class Handler : UnsharedHandler() {
        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                if (message is HttpObject && message.decoderResult().isFailure) {
                    fail("unreadable response: ${message.decoderResult().cause().message}")
                } else {
                    (message as? HttpResponse)?.let(::readHead)
                    (message as? HttpContent)?.let(::readContent)
                }
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelReadComplete(context: ChannelHandlerContext) {
            if (matcher.isTainted && listener == null) channel.close()
        }

        override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
            if (event is ChannelInputShutdownEvent) fail("connection closed")
        }

        override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed")

        @Suppress("OVERRIDE_DEPRECATION")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) =
            fail(cause.message ?: cause.toString())
    }

    companion object {
        private val lastNumber = AtomicLong()

        /** Time in which the rest of a response arrives that may have begun with the last bytes of a body. */
        private const val NEXT_BYTES_WAIT_MILLIS = 20L

        /** A host in the same region accepts within milliseconds; a lost SYN would be retransmitted only after 1 s. */
        val CONNECT_TIMEOUT: Duration = 400.milliseconds

        /** Opens a connection and passes it to [onDone]; null when that fails. */
        fun open(
            group: EventLoopGroup,
            address: InetSocketAddress,
            onUnmatched: (HttpClientConnection, HttpResponse) -> Unit = { _, _ -> },
            onDone: (HttpClientConnection?) -> Unit,
        ) {
            var connection: HttpClientConnection? = null
            Bootstrap().group(group).channel(NioSocketChannel::class.java)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
                // Reports the server's orderly close, which is told from a reset by nothing else.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(object : ChannelInitializer<SocketChannel>() {
                    override fun isSharable() = false

                    override fun initChannel(channel: SocketChannel) {
                        KeepAliveProbes().applyTo(channel)
                        connection = HttpClientConnection(channel, onUnmatched).also { it.install() }
                    }
                })
                .connect(address)
                .addListener { future ->
                    // Without a descriptor there is no channel, and Netty reports that on another thread.
                    val loop = group.next()
                    val isOnLoop = loop.inEventLoop()
                    if (isOnLoop) onDone(connection.takeIf { future.isSuccess }) else loop.execute { onDone(null) }
                }
        }
    }
}
