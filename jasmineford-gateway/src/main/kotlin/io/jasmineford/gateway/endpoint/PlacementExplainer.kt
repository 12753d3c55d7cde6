package io.jasmineford.gateway.endpoint

import io.jasmineford.core.placement.EndpointReport
import io.jasmineford.core.placement.PlacementOutcome
import io.jasmineford.core.placement.PlacementReport
import io.jasmineford.core.placement.WorkReport
import io.jasmineford.gateway.cost.CallWork
import io.jasmineford.gateway.cost.PlacementEstimate
import kotlin.time.Duration

/** Explains what [EndpointChooser.choose] would do with a request now, by the same rules and without any effect. */
class PlacementExplainer(private val chooser: EndpointChooser) {
    /** Where [request] would be placed if no other call waited for its service. */
    fun explain(request: PlacementRequest): PlacementReport {
        val view = View(request)
        val reports = view.registered.associateWith { view.report(it) }
        val chosen = view.groups.firstNotNullOfOrNull { group ->
            group.filter { reports.getValue(it).obstacle == null }.minByOrNull { reports.getValue(it).costs.score }
        }
        val isServable = chooser.isServable(request)
        return PlacementReport(
            outcome = when {
                !isServable -> PlacementOutcome.REJECTED
                chosen == null -> PlacementOutcome.WAITS
                else -> PlacementOutcome.PLACED
            },
            route = request.route,
            service = request.service.name,
            isByWork = view.isByWork,
            endpoint = chosen?.endpoint?.id,
            reason = when {
                chosen != null -> null
                view.registered.isEmpty() -> "no endpoint of the service is registered"
                !isServable -> "all endpoints of the service are leaving"
                else -> "no endpoint may take the call now"
            },
            endpoints = reports.values.sortedWith(compareBy({ it.obstacle != null }, { it.costs.score }, { it.id })),
        )
    }

    /** What the chooser sees when it looks for an endpoint for [request]. */
    private inner class View(private val request: PlacementRequest) {
        private val now = chooser.clock.now()
        private val work: CallWork? = request.work
        val isByWork = work != null && chooser.byWork?.isOnNow(request.service.name) == true
        val registered = chooser.directory.all.filter { it.endpoint.service == request.service.name }
        private val usable = chooser.usableFor(request)
        val groups: List<List<EndpointState>> = chooser.versions.candidates(request, usable)
        private val preferred = groups.flatMap { chooser.preferred(it, request) }.toSet()

        fun report(state: EndpointState): EndpointReport {
            val estimate = work?.let { chooser.byWork?.estimate(state, it) }
            return EndpointReport(
                id = state.endpoint.id,
                zone = state.endpoint.zone,
                version = state.endpoint.version,
                obstacle = obstacle(state, estimate),
                callsInFlight = state.inFlight + state.inFlightAtPeers,
                slots = state.endpoint.slots,
                costs = chooser.costs(state, request, estimate.takeIf { isByWork }),
                work = WorkReport(
                    estimatedMillis = estimate?.cost?.millis ?: 0.0,
                    remainingMillis = estimate?.remainingMillis ?: 0.0,
                    speed = estimate?.speed ?: 1.0,
                    neededTokens = estimate?.cost?.tokens ?: 0,
                    usedTokens = estimate?.memoryTokens ?: 0,
                    capacityTokens = request.service.memoryTokens,
                ),
            )
        }

        private fun obstacle(state: EndpointState, estimate: PlacementEstimate?): String? = when {
            state.endpoint.isDraining -> "draining"
            state.isLeaving -> "leaving"
            !chooser.directory.isUsable(state) -> "zone evacuated"
            state !in usable -> "not the version of the stream"
            groups.none { state in it } -> "its version gets no such call during the rollout"
            state !in preferred && state.backoffUntil > now ->
                "backing off for ${millis(state.backoffUntil - now)} ms after failures, others are preferred"
            state !in preferred -> "another one is preferred"
            !state.hasFreeSlot -> "all slots in use"
            estimate?.fits == false -> "too little memory left"
            !hasPermit(state) -> "its rate allows no call now"
            else -> null
        }

        private fun hasPermit(state: EndpointState): Boolean =
            state.rateLimiter.hasPermit(state.rates(request.service)) { chooser.partOf(state.endpoint) }

        private fun millis(time: Duration) = time.inWholeMilliseconds
    }
}
