package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.http.ConnectionPool
import io.jasmineford.gateway.http.Connector
import io.jasmineford.gateway.http.HttpClientConnection
import io.jasmineford.gateway.http.ResponseIdentity
import io.jasmineford.gateway.http.ResponseListener
import io.jasmineford.gateway.http.ResponseMeaning
import io.jasmineford.gateway.http.tcpConnector
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Status and forwarded headers of an endpoint's response. */
class ResponseHead(val status: Int, val headers: HttpHeaders) {
    /** Whether the call succeeded. */
    val isSuccess: Boolean get() = status in SUCCESS

    /** Whether the body may be a stream of events: it is one, or its type is not given. */
    val mayHaveEvents: Boolean
        get() = headers[HttpHeaderNames.CONTENT_TYPE]?.trim()?.startsWith(EVENT_STREAM, ignoreCase = true) != false
}

private const val EVENT_STREAM = "text/event-stream"
private const val FIRST_SUCCESS = 200
private const val LAST_SUCCESS = 299
private val SUCCESS = FIRST_SUCCESS..LAST_SUCCESS

/**
 * A response that belongs to no request.
 *
 * @property connection number of the connection on which it arrived.
 * @property attempt id of a caller's attempt that it bears; null if it has none.
 * @property isBusy whether another call waited for its response on the connection.
 */
data class UnmatchedResponse(
    val address: InetSocketAddress,
    val connection: Long,
    val status: Int,
    val attempt: String?,
    val isBusy: Boolean,
)

/** Receives the events of one attempt; [notSent], [notExecuted], [end], [broken] and [abandoned] are final. */
interface AttemptHandler {
    /** The request was not sent. */
    fun notSent(reason: String)

    /** The endpoint responded that it did not run the call. */
    fun notExecuted(status: Int)

    /** Status and headers of the response arrived. */
    fun head(head: ResponseHead)

    /** A part of the response's body arrived; [data] is valid during the call only. */
    fun data(data: ByteBuf)

    /** The response is complete; [took] is the time since the request was written. */
    fun end(took: Duration)

    /** The connection closed or the response was invalid; the call may have run. */
    fun broken(reason: String)

    /** Tells that [bytes] of the response are held back before they reach this handler. */
    fun heldBack(bytes: Int) = Unit

    /** The connection was closed because the response takes too much memory; the call may have run. */
    fun overflowed(reason: String) = broken(reason)

    /** This daemon gave up the attempt for a reason that is not the endpoint's; the call may have run. */
    fun abandoned(reason: String)
}

/**
 * One attempt to run a call at an endpoint.
 *
 * @property usedConnections connections that have carried the call. All its attempts have the same id, so a late copy
 * of the response to one of them can be told from the response to another by its connection only.
 */
class EndpointAttempt(
    val state: EndpointState,
    internal val handler: AttemptHandler,
    internal val usedConnections: MutableSet<HttpClientConnection> = HashSet(),
) {
    internal var connection: HttpClientConnection? = null

    /** Number of the connection that carried the attempt; null before it was sent. */
    var connectionNumber: Long? = null
        internal set

    /** Number of reads in which the response arrived; bytes sent at several moments may have been read together. */
    val reads: Int get() = connection?.reads ?: endedReads
    internal var endedReads = 0
    internal var isCancelled = false

    /** Closes the attempt's connection, so that the endpoint aborts the call. */
    fun cancel() {
        isCancelled = true
        connection?.abort()
    }
}

/**
 * Sends calls to endpoints over pooled connections.
 *
 * @param isUsable whether an endpoint may still get calls; checked again when its connection is open.
 * @param onHead gets status and headers of every response to a request, and the time at which the request was sent.
 * @param onUnmatched gets each response that belongs to no request.
 */
class EndpointSender(
    private val connector: Connector,
    private val clock: MonotonicClock,
    private val names: CallHeaderNames,
    private val onHead: (EndpointState, HttpResponse, sentAt: Duration) -> Unit = { _, _, _ -> },
    private val onUnmatched: (UnmatchedResponse) -> Unit = {},
    private val isUsable: (EndpointState) -> Boolean,
) {
    /** Sender over TCP connections on [group]. */
    constructor(
        group: EventLoopGroup,
        clock: MonotonicClock,
        names: CallHeaderNames,
        onHead: (EndpointState, HttpResponse, sentAt: Duration) -> Unit = { _, _, _ -> },
        onUnmatched: (UnmatchedResponse) -> Unit = {},
        isUsable: (EndpointState) -> Boolean,
    ) : this(tcpConnector(group), clock, names, onHead, onUnmatched, isUsable)

    private val pools = HashMap<InetSocketAddress, ConnectionPool>()

    /** Sends [call] with [headers] and [body]; takes ownership of the body's reference. */
    fun send(attempt: EndpointAttempt, call: AdmittedCall, headers: HttpHeaders, body: ByteBuf) {
        val address = attempt.state.endpoint.address
        val pool = pools.getOrPut(address) {
            ConnectionPool(connector, address, clock) { connection, head ->
                val id = head.headers()[names.attemptId]
                onUnmatched(UnmatchedResponse(address, connection.number, head.status().code(), id, connection.isBusy))
            }
        }
        pool.acquire(isEligible = { it !in attempt.usedConnections }) { connection ->
            when {
                attempt.isCancelled -> {
                    body.release()
                    connection?.let { pool.release(it) }
                }
                connection == null -> {
                    body.release()
                    attempt.handler.notSent("no connection")
                }
                !isUsable(attempt.state) -> {
                    body.release()
                    pool.release(connection)
                    attempt.handler.notSent("endpoint no longer usable")
                }
                else -> {
                    attempt.connection = connection
                    attempt.connectionNumber = connection.number
                    attempt.usedConnections.add(connection)
                    connection.send(requestOf(attempt, call, headers, body), Listener(attempt, call, connection, pool))
                }
            }
        }
    }

    /** Closes the connections to all other addresses than [addresses]. */
    fun keepOnly(addresses: Set<InetSocketAddress>) {
        val removed = pools.keys - addresses
        removed.forEach { pools.remove(it)?.close() }
    }

    private fun requestOf(
        attempt: EndpointAttempt,
        call: AdmittedCall,
        headers: HttpHeaders,
        body: ByteBuf,
    ): DefaultFullHttpRequest {
        val address = attempt.state.endpoint.address
        if (!headers.contains(
                HttpHeaderNames.HOST
            )
        ) {
            headers[HttpHeaderNames.HOST] = "${address.hostString}:${address.port}"
        }
        val expectsBody = call.request.method != HttpMethod.GET && call.request.method != HttpMethod.HEAD
        if (expectsBody || body.isReadable) headers[HttpHeaderNames.CONTENT_LENGTH] = body.readableBytes()
        val trailers = DefaultHttpHeadersFactory.trailersFactory().newHeaders()
        return DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            call.request.method,
            call.request.uri,
            body,
            headers,
            trailers
        )
    }

    private inner class Listener(
        private val attempt: EndpointAttempt,
        private val call: AdmittedCall,
        private val connection: HttpClientConnection,
        private val pool: ConnectionPool,
    ) : ResponseListener {
        private val sentAt = clock.now()
        private var refusedStatus: Int? = null
        private var refusalBytes = 0

        override val identity =
            ResponseIdentity(names.attemptId, call.attributes.attemptId, names.signature, names.notExecuted)

        override fun onHead(head: HttpResponse, meaning: ResponseMeaning) {
            val status = head.status().code()
            onHead(attempt.state, head, sentAt)
            if (meaning == ResponseMeaning.NOT_EXECUTED) {
                refusedStatus = status
                return
            }
            val headers = head.headers().copy()
            headers.removeConnectionHeaders()
            attempt.handler.head(ResponseHead(status, headers))
            // Callers take the status as a promise that the call has not run, which the endpoint doesn't state.
            if (meaning == ResponseMeaning.UNPROVEN_REFUSAL) failAttempt("status $status without a statement")
        }

        private fun failAttempt(reason: String) {
            connection.abort()
            onFailure(reason)
        }

        override fun onData(data: ByteBuf) {
            if (refusedStatus == null) {
                attempt.handler.data(data)
                return
            }
            refusalBytes += data.readableBytes()
            if (refusalBytes > MAX_REFUSAL_BYTES) failAttempt("refusal without end")
        }

        override fun onEnd() {
            attempt.endedReads = connection.reads
            pool.release(connection)
            attempt.connection = null
            val refused = refusedStatus
            if (refused != null) attempt.handler.notExecuted(refused) else attempt.handler.end(clock.now() - sentAt)
        }

        override fun onFailure(reason: String) {
            attempt.endedReads = connection.reads
            attempt.connection = null
            val refused = refusedStatus
            if (refused != null) attempt.handler.notExecuted(refused) else attempt.handler.broken(reason)
        }
    }

    private companion object {
        /** Largest body of a refusal that is read; an endpoint may send one without end. */
        const val MAX_REFUSAL_BYTES = 65_536
    }
}
