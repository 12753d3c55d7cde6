package io.jasmineford.gateway.log

import io.jasmineford.gateway.endpoint.EndpointState

/** Logs the rate that the endpoint of [state] names now; [source] is `response` or the daemon that reported it. */
internal fun EventLog.endpointRate(state: EndpointState, source: String) = event(
    "endpoint-rate",
    "endpoint" to state.endpoint.id,
    "service" to state.endpoint.service,
    "per_second" to (state.namedRate.perSecond ?: "unlimited"),
    "source" to source,
    "in_flight" to state.inFlight,
    "in_flight_at_peers" to state.inFlightAtPeers,
)
