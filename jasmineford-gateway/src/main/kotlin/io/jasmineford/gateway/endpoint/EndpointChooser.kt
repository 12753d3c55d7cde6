package io.jasmineford.gateway.endpoint

import io.jasmineford.core.placement.PlacementCosts
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.cost.CallWork
import io.jasmineford.gateway.cost.PlacementEstimate
import io.jasmineford.gateway.cost.WorkPlacement
import io.jasmineford.gateway.rollout.VersionGate

/**
 * Properties of a call that determine its endpoint.
 *
 * @property affinity key shared by calls that benefit from the same endpoint, such as its prompt cache; null for none.
 * @property version the only software version at which the call may run, as it goes on with a stream of that version;
 * null for any.
 * @property tried ids of the endpoints to which the call was sent before.
 * @property work expected work of the call; null when it is not known.
 * @property route name of the call's route.
 * @property callKey identifies the call; a rollout selects calls by it.
 */
data class PlacementRequest(
    val service: Service,
    val affinity: String?,
    val tried: Set<String> = emptySet(),
    val version: String? = null,
    val work: CallWork? = null,
    val route: String = "",
    val callKey: String = "",
)

/** Whether a slot is free; without one, an endpoint gets no more calls. */
internal val EndpointState.hasFreeSlot: Boolean get() = load < FULL_LOAD

/** Load at which all slots are in use. */
private const val FULL_LOAD = 1.0

/**
 * Load balancer: chooses an endpoint for a call, or none when all are at capacity.
 *
 * Every daemon sees only a part of the calls; heartbeats report the rest. Endpoints queue excess calls first come,
 * first served. Calls beyond the slots therefore wait in the daemon, where they can be prioritised, sent elsewhere and
 * refused.
 *
 * @param zone availability zone of this daemon.
 * @param byWork placement by remaining work; null to count calls only.
 * @param versions decides which versions may get calls during a rollout.
 * @param partOf the part of this daemon in the rates that all daemons share at an endpoint.
 */
class EndpointChooser(
    internal val directory: EndpointDirectory,
    private val zone: String,
    internal val clock: MonotonicClock,
    internal val byWork: WorkPlacement? = null,
    internal val versions: VersionGate = VersionGate(clock),
    internal val partOf: (Endpoint) -> RatePart,
) {
    /** Returns the endpoint for [request] and counts the call against its rates; null when the call has to wait. */
    fun choose(request: PlacementRequest): EndpointState? =
        versions.candidates(request, usableFor(request)).firstNotNullOfOrNull { chooseFrom(it, request) }
            ?.also { versions.recordPlaced(request, it) }

    private fun chooseFrom(usable: List<EndpointState>, request: PlacementRequest): EndpointState? {
        val free = preferred(usable, request).filter { it.hasFreeSlot }
        val work = request.work
        if (byWork != null && work != null && byWork.isOn(request.service.name)) {
            return byWork.choose(free, work, { costs(it, request).score }) { tryTakeCall(it, request.service) }
        }
        // Each score is computed once: a sort by the function would compute two for each comparison.
        val fitting = if (byWork == null || work == null) free else free.filter { byWork.fits(it, work) }
        val ranked = fitting.map { it to countedCosts(it, request).score }.sortedBy { it.second }
        return ranked.firstOrNull { tryTakeCall(it.first, request.service) }?.first
    }

    /** The endpoints among [usable] of which one is chosen: untried and not backing off, if there are such. */
    internal fun preferred(usable: List<EndpointState>, request: PlacementRequest): List<EndpointState> {
        val now = clock.now()
        val untried = usable.filter { it.endpoint.id !in request.tried }.ifEmpty { usable }
        return untried.filter { it.backoffUntil <= now }.ifEmpty { untried }
    }

    /** Whether an endpoint could run the call, at capacity or not, or one may soon be registered that could. */
    fun isServable(request: PlacementRequest): Boolean = when (request.version) {
        null -> !directory.isAbandoned(request.service.name)
        else -> usableFor(request).isNotEmpty()
    }

    internal fun usableFor(request: PlacementRequest): List<EndpointState> {
        val usable = directory.usable(request.service.name)
        return when {
            request.version == null -> usable
            versions.mayResume(request.service.name, request.version) ->
                usable.filter { it.endpoint.version == request.version }
            else -> emptyList()
        }
    }

    /** Parts of the score of [state]: by [estimate], or by the calls in flight if there is none. */
    internal fun costs(state: EndpointState, request: PlacementRequest, estimate: PlacementEstimate?): PlacementCosts {
        val completion = estimate?.let { byWork?.relativeCompletion(it, request.service.name) }
        return if (completion == null) countedCosts(state, request) else costs(state, request, load = completion)
    }

    private fun countedCosts(state: EndpointState, request: PlacementRequest) =
        costs(state, request, load = state.load * state.slowness, slowness = (state.slowness - 1) * SLOWNESS_COST)

    /** Without [load] and [slowness], the costs that depend neither on the load nor on the speed of an endpoint. */
    private fun costs(state: EndpointState, request: PlacementRequest, load: Double = 0.0, slowness: Double = 0.0) =
        PlacementCosts(
            load = load,
            quality = slowness + state.failureRate * FAILURE_COST,
            zone = state.zoneCost,
            affinity = affinityCost(state, request),
        )

    private val EndpointState.zoneCost: Double get() = if (endpoint.zone == zone) 0.0 else OTHER_ZONE_COST

    /** Rendezvous hashing: all daemons prefer the same endpoint for the same key without coordination. */
    private fun affinityCost(state: EndpointState, request: PlacementRequest): Double {
        val key = request.affinity ?: return 0.0
        val hash = (key.hashCode() * HASH_FACTOR + state.endpoint.id.hashCode()) * HASH_FACTOR
        return ((hash xor (hash ushr HASH_SHIFT)) and HASH_MASK).toDouble() / HASH_MASK * AFFINITY_COST
    }

    private fun tryTakeCall(state: EndpointState, service: Service): Boolean =
        state.rateLimiter.tryTake(state.rates(service)) { partOf(state.endpoint) }

    private companion object {
        /** Load difference that a call accepts to stay in its availability zone, where traffic is free of charge. */
        const val OTHER_ZONE_COST = 0.25

        /** Load difference that a call accepts to reach the endpoint that has its prompt cached. */
        const val AFFINITY_COST = 0.3

        /** Weight of an endpoint's slowness irrespective of its load, so that it also counts while it is idle. */
        const val SLOWNESS_COST = 0.3

        /** Load difference that a call accepts to avoid an endpoint whose calls all fail. */
        const val FAILURE_COST = 1.5
        const val HASH_FACTOR = -0x61c88647
        const val HASH_SHIFT = 15
        const val HASH_MASK = 0xffff
    }
}
