package io.jasmineford.gateway.metrics

import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.http.CallerServer
import io.jasmineford.gateway.http.ListenerResources
import io.jasmineford.gateway.http.RejectionLog
import io.jasmineford.gateway.log.EventLog
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import java.io.IOException
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/**
 * Serves `GET /metrics` and further pages for the operator.
 *
 * @param pages text of a page in JSON by its path.
 */
class MetricsServer(
    group: EventLoopGroup,
    private val log: EventLog,
    private val metrics: CallMetrics,
    resources: ListenerResources = ListenerResources(RejectionLog(log)),
    private val pages: Map<String, (CallerRequest) -> String> = emptyMap(),
) {
    private val server = CallerServer(group, { LIMITS }, { false }, log, resources) { request, exchange ->
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        val page = pages[request.path]
        if (request.path == "/metrics") {
            headers[HttpHeaderNames.CONTENT_TYPE] = "text/plain; version=0.0.4"
            exchange.answer(OK, headers, Unpooled.wrappedBuffer(metrics.text()))
        } else if (page != null && request.method == HttpMethod.GET) {
            headers[HttpHeaderNames.CONTENT_TYPE] = HttpHeaderValues.APPLICATION_JSON
            exchange.answer(OK, headers, Unpooled.wrappedBuffer(page(request).toByteArray()))
        } else {
            exchange.answer(NOT_FOUND, headers, Unpooled.EMPTY_BUFFER)
        }
    }

    /** Binds [address]. When it is in use, that is logged and the daemon runs without metrics. */
    fun open(address: InetSocketAddress) = try {
        server.open(address)
    } catch (e: IOException) {
        log.event("metrics-unavailable", "address" to address, "reason" to e.message)
    }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        val LIMITS = CallLimits(
            maxHeaderBytes = 8192,
            maxBodyBytes = 8192,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )
    }
}
