package io.jasmineford.gateway.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Receives one response. Unless the exchange is aborted, the last call is exactly one of [onEnd] and [onFailure]. */
interface ResponseListener {
    /** Whether [head] belongs to the request of this listener; other responses are skipped. */
    fun belongsToRequest(head: HttpResponse): Boolean = true

    /** Receives status and headers. */
    fun onHead(head: HttpResponse)

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
) : ChannelInboundHandlerAdapter() {
    /** Number by which log lines name the connection; unique in the process. */
    val number: Long = lastNumber.incrementAndGet()

    /** Whether a request waits for its response. */
    val isBusy: Boolean get() = listener != null

    private var listener: ResponseListener? = null
    private var isSkipping = false
    private var isWritten = true
    private var isUnusable = false
    private var isKeptAlive = true

    /** Idle timeout from the `Keep-Alive` header of the latest response; null when it had none. */
    var idleTimeoutSeconds: Int? = null
        private set

    /** Whether another request may be sent. */
    val isReusable: Boolean get() = channel.isActive && listener == null && isWritten && isKeptAlive && !isUnusable

    /**
     * Sends [request] and takes over the reference to it; throws [IllegalStateException] while a request is in flight.
     */
    fun send(request: FullHttpRequest, listener: ResponseListener) {
        check(this.listener == null) { "the connection already carries a request" }
        this.listener = listener
        isWritten = false
        isSkipping = false
        channel.writeAndFlush(request).addListener { isWritten = it.isSuccess }
    }

    /** Closes the connection without a call to the listener. */
    fun abort() {
        listener = null
        isUnusable = true
        channel.close()
    }

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

    private fun readHead(head: HttpResponse) {
        val current = listener
        if (current == null) {
            onUnmatched(this, head)
            fail("response without a request")
            return
        }
        isSkipping = head.status().code() < FIRST_FINAL_STATUS || !current.belongsToRequest(head)
        if (isSkipping && head.status().code() >= FIRST_FINAL_STATUS) {
            isUnusable = true
            onUnmatched(this, head)
        }
        if (!isSkipping) {
            isKeptAlive = HttpUtil.isKeepAlive(head)
            idleTimeoutSeconds = head.headers()["Keep-Alive"]?.substringAfter("timeout=", "")
                ?.takeWhile { it.isDigit() }?.toIntOrNull()
            current.onHead(head)
        }
    }

    private fun readContent(content: HttpContent) {
        if (isSkipping) return
        val current = listener ?: return
        if (content.content().isReadable) current.onData(content.content())
        // The listener may have aborted the exchange in onData.
        if (content is LastHttpContent && listener === current) {
            listener = null
            if (!isWritten) isUnusable = true
            current.onEnd()
        }
    }

    private fun fail(reason: String) {
        isUnusable = true
        val current = listener
        listener = null
        channel.close()
        current?.onFailure(reason)
    }

    override fun channelInactive(context: ChannelHandlerContext) = fail("connection closed")

    @Deprecated("Deprecated in the supertype")
    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable
    ) = fail(cause.message ?: cause.toString())

    /** Closes an idle connection. */
    fun close() {
        isUnusable = true
        channel.close()
    }

    companion object {
        private const val FIRST_FINAL_STATUS = 200
        private const val MAX_LINE_BYTES = 8192
        private const val MAX_HEADER_BYTES = 65_536
        private const val MAX_CHUNK_BYTES = 65_536
        private val lastNumber = AtomicLong()

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
                .handler(object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        KeepAliveProbes().applyTo(channel)
                        val opened = HttpClientConnection(channel, onUnmatched)
                        connection = opened
                        channel.pipeline().addLast(
                            HttpRequestEncoder(),
                            HttpResponseDecoder(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            opened,
                        )
                    }
                })
                .connect(address)
                .addListener { future -> onDone(connection.takeIf { future.isSuccess }) }
        }
    }
}
