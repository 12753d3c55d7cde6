package io.jasmineford.core.placement

import kotlinx.serialization.Serializable

/** What would become of a request now. */
@Serializable
enum class PlacementOutcome {
    /** It would be sent to an endpoint at once. */
    PLACED,

    /** It would wait for an endpoint. */
    WAITS,

    /** It would be rejected. */
    REJECTED,
}

/**
 * Where a daemon would place a request now, and why.
 *
 * @property route name of the request's route; null if there is none.
 * @property service name of the service that would run it; null if there is none.
 * @property isByWork whether the service's calls are placed by work instead of by counting calls.
 * @property endpoint id of the chosen endpoint; null unless the request would be placed.
 * @property reason why the request would wait or be rejected; null if it would be placed.
 * @property waitingCalls calls of the service that wait in the daemon.
 * @property isOverloaded whether the daemon sheds calls, of which the request may be one.
 * @property endpoints registered endpoints of the service, the best first.
 */
@Serializable
data class PlacementReport(
    val outcome: PlacementOutcome,
    val route: String? = null,
    val service: String? = null,
    val isByWork: Boolean = false,
    val endpoint: String? = null,
    val reason: String? = null,
    val waitingCalls: Int = 0,
    val isOverloaded: Boolean = false,
    val endpoints: List<EndpointReport> = emptyList(),
)

/**
 * What speaks for and against an endpoint.
 *
 * @property obstacle why the request can't be sent there now; null if it can.
 * @property callsInFlight calls of all daemons in flight, as far as known here.
 * @property costs score and its parts; the endpoint with the lowest score is the best.
 */
@Serializable
data class EndpointReport(
    val id: String,
    val zone: String,
    val version: String,
    val obstacle: String?,
    val callsInFlight: Int,
    val slots: Int,
    val costs: PlacementCosts,
    val work: WorkReport,
)

/**
 * Score of an endpoint and its parts, in the unit of the load, or of a typical call where calls are placed by work.
 *
 * @property load load, or expected completion where calls are placed by work.
 * @property quality cost of failures and, where calls are counted, of slowness.
 */
@Serializable
data class PlacementCosts(
    val load: Double,
    val quality: Double,
    val zone: Double,
    val affinity: Double,
) {
    /** Sum of the parts. */
    val score: Double get() = load + quality + zone + affinity
}

/**
 * Work and memory at an endpoint.
 *
 * @property estimatedMillis work of the request.
 * @property remainingMillis what is left of the calls in flight.
 * @property speed learned speed, 1 for the mean.
 * @property neededTokens memory that the request needs.
 * @property usedTokens memory that the calls in flight take.
 * @property capacityTokens memory of the endpoint; 0 if unknown.
 */
@Serializable
data class WorkReport(
    val estimatedMillis: Double,
    val remainingMillis: Double,
    val speed: Double,
    val neededTokens: Int,
    val usedTokens: Long,
    val capacityTokens: Int,
)
