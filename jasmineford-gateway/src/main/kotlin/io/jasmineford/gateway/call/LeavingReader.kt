package io.jasmineford.gateway.call

import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.log.EventLog
import io.netty.handler.codec.http.HttpResponse

/**
 * Reads from responses that an endpoint is leaving, and logs when it begins to.
 *
 * Any response to a call of this daemon counts, a refusal or one that is not passed on too: the time within which the
 * endpoint may get further calls begins when a response is passed on, which the head precedes.
 *
 * @param record records that an endpoint is leaving and tells whether that was not known.
 */
internal class LeavingReader(
    private val names: CallHeaderNames,
    private val log: EventLog,
    private val record: (EndpointState) -> Boolean,
) {
    /** Records what the response [head] to a call at the endpoint of [state] says. */
    fun read(state: EndpointState, head: HttpResponse) {
        val isLeaving = head.headers().contains(names.leaving, LEAVING, false)
        if (!isLeaving || !isFrom(state, head) || !record(state)) return
        log.event(
            "endpoint-leaving",
            "endpoint" to state.endpoint.id,
            "service" to state.endpoint.service,
            "address" to state.endpoint.address,
            "status" to head.status().code(),
            "in_flight" to state.inFlight,
            "in_flight_at_peers" to state.inFlightAtPeers,
        )
    }

    /** Another process at the address rejects the request with 421; its headers say nothing of the endpoint. */
    private fun isFrom(state: EndpointState, head: HttpResponse): Boolean =
        when (val responder = head.headers()[names.endpointId]) {
            null -> head.status().code() != MISDIRECTED
            else -> responder == state.endpoint.id
        }

    private companion object {
        const val LEAVING = "1"
        const val MISDIRECTED = 421
    }
}
