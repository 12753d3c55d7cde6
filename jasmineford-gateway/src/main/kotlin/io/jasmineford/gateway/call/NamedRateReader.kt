package io.jasmineford.gateway.call

import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.NamedRate
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.log.endpointRate
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/** Reads from responses the rate of calls that an endpoint takes, and logs its changes. */
internal class NamedRateReader(private val names: CallHeaderNames, private val log: EventLog) {
    /** Records what a response with [headers], to a request that was sent at [sentAt], says of the rate of [state]. */
    fun read(state: EndpointState, headers: HttpHeaders, sentAt: Duration) {
        val text = headers[names.rateLimit]
        val perSecond = text?.trim()?.toDoubleOrNull()?.takeIf(NamedRate::isRate)
        when {
            text == null -> if (headers.contains(names.signature)) recordNone(state, sentAt)
            perSecond == null -> log.event(
                "endpoint-rate-unreadable",
                "endpoint" to state.endpoint.id,
                "value" to text.take(MAX_LOGGED_CHARS),
            )
            state.namedRate.record(perSecond) -> log.endpointRate(state, source = "response")
        }
    }

    /** Only signed responses end a limit: bytes from a faulty endpoint may look like a response without one. */
    private fun recordNone(state: EndpointState, sentAt: Duration) {
        if (state.namedRate.recordNone(sentAt)) log.endpointRate(state, source = "response")
    }

    private companion object {
        const val MAX_LOGGED_CHARS = 40
    }
}
