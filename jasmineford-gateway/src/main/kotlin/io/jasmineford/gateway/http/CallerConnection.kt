package io.jasmineford.gateway.http

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.log.EventLog
import io.netty.buffer.ByteBuf
import io.netty.buffer.CompositeByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.io.IOException

/** A caller's connection: reads whole requests and answers them one at a time, in the order of their arrival. */
internal class CallerConnection(
    private val channel: Channel,
    private val limits: CallLimits,
    private val isClosing: () -> Boolean,
    private val log: EventLog,
    private val resources: ListenerResources,
    private val handler: CallerHandler,
) : UnsharedHandler() {
    constructor(
        channel: Channel,
        limits: CallLimits,
        isClosing: () -> Boolean,
        log: EventLog,
        handler: CallerHandler,
    ) : this(channel, limits, isClosing, log, ListenerResources(RejectionLog(log)), handler)

    /** Memory of the requests on this connection. */
    val footprint = RequestFootprint(resources.requests) { end(RejectionReason.REQUEST_MEMORY) }
    private val place = resources.connections.admit { end(RejectionReason.CONNECTIONS) }

    /** Whether the connection has a place among those of the listener. */
    val isAdmitted: Boolean get() = place != null

    /** Whether a request is being read, and no earlier one is without a complete answer. */
    val isReading: Boolean get() = head != null && current == null
    private var head: HttpRequest? = null
    private var body: CompositeByteBuf? = null
    private var bodyBytes = 0
    private var isRejecting = false
    private val waiting = ArrayDeque<WaitingRequest>()
    private var current: Exchange? = null
    private val timer = ConnectionTimer(channel)
    private val unreadTimer = ConnectionTimer(channel)

    // A caller that leaves an answer unread gets no further calls run meanwhile.
    private var isWriting = false

    init {
        channel.closeFuture().addListener { place?.leave() }
    }

    /** Whether a request is being read, is queued or is being answered, or an answer is not written in full. */
    val isBusy: Boolean get() = hasRequest || hasUnwritten
    private val hasRequest: Boolean get() = current != null || head != null || waiting.isNotEmpty()

    // Closing the channel would drop what its socket has not taken yet.
    private val hasUnwritten: Boolean
        get() = channel.unsafe().outboundBuffer()?.let { it.totalPendingWriteBytes() > 0 } ?: false

    override fun channelActive(context: ChannelHandlerContext) = closeWhenIdle()

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            when {
                isRejecting -> Unit
                message is HttpObject && message.decoderResult().isFailure -> reject(message.rejectionStatus())
                else -> {
                    (message as? HttpRequest)?.let(::readHead)
                    if (!isRejecting) (message as? HttpContent)?.let(::readContent)
                }
            }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun readHead(request: HttpRequest) {
        timer.cancel()
        val length = request.headers()[HttpHeaderNames.CONTENT_LENGTH]?.toLongOrNull() ?: 0
        when {
            !request.headers().haveUnambiguousFraming() -> reject(HttpResponseStatus.BAD_REQUEST)
            length > limits.maxBodyBytes -> reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            else -> {
                head = request
                body = channel.alloc().compositeBuffer(MAX_BODY_PARTS)
                bodyBytes = 0
                timer.arm(limits.headerTimeout) { reject(HttpResponseStatus.REQUEST_TIMEOUT) }
                if (HttpUtil.is100ContinueExpected(request)) {
                    channel.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
                }
            }
        }
    }

    private fun readContent(content: HttpContent) {
        val part = content.content()
        bodyBytes += part.readableBytes()
        if (bodyBytes > limits.maxBodyBytes) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE)
            return
        }
        if (part.isReadable) {
            body?.let { footprint.readBody(bodyBytes, it.addComponent(true, part.retain()).numComponents()) }
        }
        val request = head
        if (content !is LastHttpContent || request == null) return
        timer.cancel()
        val fullBody = body ?: Unpooled.EMPTY_BUFFER
        head = null
        body = null
        waiting.addLast(WaitingRequest(request, fullBody, footprint.complete()))
        if (waiting.size > MAX_PIPELINED) channel.config().isAutoRead = false
        startNext()
    }

    private fun startNext() {
        val isAnswering = current != null || isWriting
        if (isAnswering || isRejecting || !channel.isActive) return
        val next = waiting.removeFirstOrNull()
        if (next == null) {
            place?.endRequests()
            // The timer is in use for the request that is being read.
            if (head == null) closeWhenIdle()
            return
        }
        place?.beginRequest()
        channel.config().isAutoRead = true
        val exchange = Exchange(next)
        current = exchange
        val request = next.request
        handler.handle(CallerRequest(request.method(), request.uri(), request.headers(), next.body), exchange)
    }

    /**
     * Answers the request that is being read with [status] and closes the connection, because the start of the next
     * request is not known. While an earlier request is being answered, the connection is closed without an answer.
     */
    fun reject(status: HttpResponseStatus, reason: RejectionReason = RejectionReason.INVALID_REQUEST) {
        isRejecting = true
        head = null
        body?.release()
        body = null
        resources.rejections.record(reason, channel.remoteAddress(), status.code().takeIf { current == null })
        if (current != null) {
            channel.close()
            return
        }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER)
        response.headers().set(
            HttpHeaderNames.CONTENT_LENGTH,
            0
        ).set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Ends the connection to give what it holds to others; a request that is being read is refused. */
    private fun end(reason: RejectionReason) {
        if (isRejecting) return
        if (isReading) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE, reason)
        } else {
            isRejecting = true
            resources.rejections.record(reason, channel.remoteAddress())
            if (reason == RejectionReason.REQUEST_MEMORY) current?.let { it.onMemoryExceeded() }
        }
        // The response fits into the socket's buffer unless the caller has left earlier ones unread.
        channel.close()
    }

    private fun closeWhenIdle() = timer.arm(limits.idleTimeout) { if (!hasRequest) channel.close() }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.cancel()
        unreadTimer.cancel()
        body?.release()
        body = null
        head = null
        waiting.forEach { it.body.release() }
        waiting.clear()
        current?.disconnected()
        footprint.clear()
    }

    /** A request that has been read. [cost] is its part of the footprint. */
    private class WaitingRequest(val request: HttpRequest, val body: ByteBuf, val cost: Long)

    @Suppress("OVERRIDE_DEPRECATION")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        channel.closeAfter(cause, log)
    }

    private inner class Exchange(private val request: WaitingRequest) : CallerExchange {
        private val isKeepAlive = HttpUtil.isKeepAlive(request.request)
        private val isHead = request.request.method() == HttpMethod.HEAD
        private var isStarted = false
        private var isEnded = false
        private var willClose = false
        override val isOpen: Boolean get() = !isEnded && channel.isActive
        override var onDisconnect: () -> Unit = {}

        /** See [holdFor]. */
        var onMemoryExceeded: () -> Unit = {}
            private set

        override fun holdFor(group: String, onExceeded: () -> Unit) {
            if (!isOpen) return
            onMemoryExceeded = onExceeded
            footprint.joinGroup(group)
        }

        override fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
            if (!isOpen || isStarted) {
                body.release()
                // A caller can't tell another response from the rest of the started one.
                if (isStarted) abort()
                return
            }
            val length = body.readableBytes()
            val response = DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                // The caller would take a body for the start of the next response.
                if (isHead) Unpooled.EMPTY_BUFFER.also { body.release() } else body,
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders(),
            )
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, length)
            setConnection(response.headers())
            end(response)
        }

        override fun startAnswer(status: Int, headers: HttpHeaders) {
            if (!isOpen) return
            isStarted = true
            val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers)
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH)
            HttpUtil.setTransferEncodingChunked(response, true)
            setConnection(response.headers())
            channel.write(response).closeOnFailure(log)
        }

        override fun sendPart(data: ByteBuf) {
            if (isOpen) channel.writeAndFlush(StreamPart(data)).closeOnFailure(log) else data.release()
        }

        override fun endAnswer() {
            if (!isOpen) return
            end(LastHttpContent.EMPTY_LAST_CONTENT)
        }

        override fun abort() {
            if (isEnded) return
            finish()
            channel.close()
        }

        /** Ends the exchange because the caller closed the connection or it was lost. */
        fun disconnected() {
            if (isEnded) return
            finish()
            onDisconnect()
        }

        private fun setConnection(headers: HttpHeaders) {
            willClose = !isKeepAlive || isClosing() || isRejecting
            if (willClose) headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }

        private fun finish() {
            isEnded = true
            request.body.release()
            footprint.release(request.cost)
            current = null
        }

        /** Sends [last] as the end of the response and goes on with the next request. */
        private fun end(last: HttpObject) {
            // A failed write closes the connection at once, which would end the exchange once more.
            finish()
            isWriting = true
            val write = channel.writeAndFlush(last)
            write.closeOnFailure(log)
            if (!write.isDone) {
                // The connection may be closed in favour of others as if it were idle.
                place?.endRequests()
                unreadTimer.arm(limits.idleTimeout) { channel.close() }
            }
            write.addListener {
                isWriting = false
                unreadTimer.cancel()
                if (willClose && waiting.isEmpty()) channel.close() else startNext()
            }
        }
    }

    private companion object {
        /** Pipelined requests that are queued before reading from the connection is paused. */
        const val MAX_PIPELINED = 8

        /** Components of a body buffer beyond which Netty merges them. */
        const val MAX_BODY_PARTS = 64
    }
}

/** Closes the connection when this write fails, as the caller would wait for the rest of the response. */
private fun ChannelFuture.closeOnFailure(log: EventLog) {
    addListener { if (!it.isSuccess) channel().closeAfter(it.cause(), log) }
}

private fun Channel.closeAfter(cause: Throwable, log: EventLog) {
    if (cause !is IOException) {
        log.event("caller-connection-error", "reason" to cause, "at" to cause.stackTrace.firstOrNull())
    }
    close()
}
