package io.jasmineford.gateway.daemon

import io.jasmineford.core.placement.PlacementOutcome
import io.jasmineford.core.placement.PlacementReport
import io.jasmineford.gateway.call.CallAttributes
import io.jasmineford.gateway.call.CallServices
import io.jasmineford.gateway.call.affinityOf
import io.jasmineford.gateway.call.read
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint.PlacementExplainer
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.http.CallerRequest
import io.netty.handler.codec.http.QueryStringDecoder
import kotlinx.serialization.json.Json
import kotlin.time.Duration

/**
 * Page for the operator that tells where a request would be placed now. The request is that of the page with the `host`
 * and `path` of the query; what a call's headers tell, the page's headers tell. Nothing is sent, and no state changes.
 */
internal class PlacementPage(
    private val services: CallServices,
    private val config: () -> GatewayConfig?,
    private val explainer: PlacementExplainer,
    private val isOverloaded: () -> Boolean,
) {
    /** The [PlacementReport] for [request] in JSON. */
    fun explain(request: CallerRequest): String = Json.encodeToString(report(request))

    private fun report(request: CallerRequest): PlacementReport {
        val names = services.names
        if (request.headers[names.attemptId].isNullOrBlank()) request.headers[names.attemptId] = DEFAULT_ID
        val query = QueryStringDecoder(request.uri).parameters()
        val attributes = names.read(request)
        val current = config()
        val route = current?.routeOf(query["host"]?.first().orEmpty(), query["path"]?.first().orEmpty())
        val service = if (attributes != null && route != null) serviceOf(route, attributes, current) else null
        val problem = when {
            current == null -> "no configuration is known"
            attributes == null -> "a header is malformed"
            route == null -> "no route has this host and path"
            service == null -> "the route has no service"
            else -> null
        }
        return if (attributes == null || route == null || service == null) {
            PlacementReport(PlacementOutcome.REJECTED, route = route?.name, reason = problem)
        } else {
            reportOf(route, service, attributes)
        }
    }

    private fun reportOf(route: Route, service: Service, attributes: CallAttributes): PlacementReport {
        val report = explainer.explain(
            PlacementRequest(
                service = service,
                affinity = route.affinityOf(attributes),
                work = services.observer.work(route.name, service, attributes.hints),
                route = route.name,
                callKey = attributes.attemptId,
            ),
        )
        val time = minOf(attributes.deadline ?: route.timeout, route.timeout)
        return behindWaitingCalls(report, service, time).copy(isOverloaded = isOverloaded())
    }

    /** A call behind others waits for its turn, or is refused if that would come too late. */
    private fun behindWaitingCalls(report: PlacementReport, service: Service, timeLeft: Duration): PlacementReport {
        val queue = services.dispatcher.outlook(service, timeLeft)
        val counted = report.copy(waitingCalls = queue.waiting)
        val wait = "${queue.wait.inWholeMilliseconds} ms"
        return when {
            report.outcome == PlacementOutcome.REJECTED || queue.waiting == 0 -> counted
            !queue.isInTime -> counted.copy(
                outcome = PlacementOutcome.REJECTED,
                endpoint = null,
                reason = "the expected wait of $wait behind ${queue.waiting} calls is longer than the call has time",
            )
            else -> counted.copy(
                outcome = PlacementOutcome.WAITS,
                endpoint = null,
                reason = "${queue.waiting} calls wait for the service, for some $wait",
            )
        }
    }

    companion object {
        /** Path of the page. */
        const val PATH = "/placement/explain"

        /** Id of a request that has none. */
        private const val DEFAULT_ID = "explain"
    }
}
