package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** A complete request of a caller. Its exchange releases the body. */
class CallerRequest(
    val method: HttpMethod,
    val uri: String,
    val headers: HttpHeaders,
    val body: ByteBuf,
) {
    /** Path of [uri] without the query. */
    val path: String get() = uri.substringBefore('?')
}

/** Sends the answer to one request of a caller. Used on the event loop only. */
interface CallerExchange {
    /** Whether the caller is connected and the answer is not complete. */
    val isOpen: Boolean

    /** Called once if the connection is lost before the answer is complete. */
    var onDisconnect: () -> Unit

    /**
     * Counts the memory of the request together with that of the others for [group], a service or an endpoint.
     * [onExceeded] is called when the request has to be ended as these hold the most; the connection is then closed.
     */
    fun holdFor(group: String, onExceeded: () -> Unit) = Unit

    /** Sends a complete answer and takes over the reference to [body]. */
    fun answer(status: Int, headers: HttpHeaders, body: ByteBuf)

    /** Sends status and headers of an answer whose body follows in parts. */
    fun startAnswer(status: Int, headers: HttpHeaders)

    /** Sends a part of the body and takes over the reference to [data]. */
    fun sendPart(data: ByteBuf)

    /** Ends the body and with it the answer. */
    fun endAnswer()

    /** Closes the connection without completing the answer. */
    fun abort()
}
