package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import kotlin.math.roundToInt
import kotlin.time.Duration

/**
 * Decides which versions of a service may get a call while a rollout of the service is known.
 *
 * Each daemon sends at most the canary share of its own calls to the new version, so the sum over all daemons stays
 * within the share whatever the daemons know of each other.
 *
 * @param bounds null where rollouts are not in use.
 * @param slackPart part of this daemon in a number of calls that all daemons share, by a key.
 */
class VersionGate(
    private val clock: MonotonicClock,
    private val bounds: RolloutBounds? = null,
    private val slackPart: (key: String, total: Int) -> Int = { _, _ -> 0 },
) {
    private val known = HashMap<String, RolloutProgress>()
    private val rejected = HashMap<String, MutableSet<String>>()

    /** The latest orders, open or not, by service. */
    val rollouts: Map<String, RolloutProgress> get() = known

    /** Makes [next] the latest order of its service. */
    internal fun begin(next: RolloutProgress) {
        val service = next.order.service
        known.put(service, next)?.let(::recordRejection)
        rejected[service]?.remove(next.order.to)
    }

    /** The version of an order that did not complete gets no calls under a later order either. */
    private fun recordRejection(former: RolloutProgress) {
        if (former.outcome == RolloutOutcome.COMPLETED) return
        rejected.getOrPut(former.order.service) { HashSet() }.add(former.order.to)
    }

    /** Whether a stream of [version] may be taken up there. */
    fun mayResume(service: String, version: String): Boolean {
        val rollout = known[service] ?: return true
        val isNew = version == rollout.order.to
        val isOldOpen = rollout.outcome != RolloutOutcome.COMPLETED && rollout.phase != RolloutPhase.CLOSED
        // After a rollback, streams that break off get some time to go on at their version.
        val grace = bounds?.let { it.rollbackTime * RESUME_PART } ?: Duration.INFINITE
        return if (isNew) clock.now() - rollout.rolledBackAt < grace else isOldOpen
    }

    /** The endpoints among [usable] that may get the call of [request], in groups of falling preference. */
    fun candidates(request: PlacementRequest, usable: List<EndpointState>): List<List<EndpointState>> {
        val rollout = known[request.service.name]
        if (rollout == null || request.version != null) return listOf(usable)
        val (new, others) = usable.partition { it.endpoint.version == rollout.order.to }
        val refused = rejected[request.service.name].orEmpty()
        val old = others.filter { it.endpoint.version !in refused }.ifEmpty { others }
        return when {
            new.isEmpty() -> listOf(old)
            old.isEmpty() -> listOf(new)
            else -> choose(rollout, request, new, old)
        }
    }

    private fun choose(
        rollout: RolloutProgress,
        request: PlacementRequest,
        new: List<EndpointState>,
        old: List<EndpointState>,
    ): List<List<EndpointState>> {
        val isFresh = rollout.isFresh(clock.now())
        return when {
            rollout.outcome == RolloutOutcome.COMPLETED -> listOf(new)
            rollout.outcome != null || rollout.phase == RolloutPhase.ROLLBACK -> listOf(old)
            // Old endpoints stop without draining as soon as the rollout is completed.
            rollout.phase == RolloutPhase.CLOSED -> listOf(new)
            isFresh && rollout.phase == RolloutPhase.DRAIN -> listOf(new)
            isFresh && isCanary(rollout, request) -> listOf(canaryEndpoints(rollout, new), old)
            else -> listOf(old)
        }
    }

    private fun isCanary(rollout: RolloutProgress, request: PlacementRequest): Boolean {
        // A call that has failed at the new version is not sent there again.
        if (bounds == null || request.tried.isNotEmpty()) return false
        val usage = rollout.usage
        val slack = slackPart("rollout/${request.service.name}", bounds.canarySlack)
        val allowed = (bounds.canaryShare * (usage.sent + 1) + slack).toLong()
        val isUnderTested = usage.sentToNew(request.route) < MIN_ROUTE_CALLS
        val part = if (isUnderTested) RARE_ROUTE_PART else bounds.canaryShare * SELECTION_FACTOR
        return usage.sentToNew < allowed && point("${rollout.opened}/${request.callKey}") < part
    }

    /**
     * The endpoints that carry the canary's calls: so few that each has the load that it would have with all calls.
     * Those that warm up respond more slowly, which says nothing of their version.
     */
    private fun canaryEndpoints(rollout: RolloutProgress, new: List<EndpointState>): List<EndpointState> {
        val now = clock.now()
        val count = (new.size * (bounds?.canaryShare ?: 0.0)).roundToInt().coerceAtLeast(MIN_CANARY_ENDPOINTS)
        return new.filter { it.coldUntil <= now }
            .map { it to point("${rollout.opened}/${it.endpoint.id}") }
            .sortedBy { it.second }.take(count).map { it.first }
    }

    /** Counts a call of [request] that is sent to the endpoint of [state]. */
    fun recordPlaced(request: PlacementRequest, state: EndpointState) {
        val rollout = counting(request.service.name) ?: return
        rollout.usage.recordSent(request.route, isNew = state.endpoint.version == rollout.order.to)
    }

    /** Counts the end of a call on [route] at the endpoint of [state]; [time] is that of an event for streams. */
    fun recordEnd(state: EndpointState, route: String, result: AttemptResult, time: Duration) {
        val endpoint = state.endpoint
        val rollout = counting(endpoint.service) ?: return
        val isNew = endpoint.version == rollout.order.to
        rollout.usage.recordEnd(AttemptEnd(route, isNew, endpoint.id, result, time), clock.now())
    }

    private fun counting(service: String) = known[service]?.takeIf { it.outcome == null }

    private companion object {
        /** Part of the rollback time in which streams of the new version may be taken up after a rollback. */
        const val RESUME_PART = 0.4

        /** Calls of a route that this daemon sends to the new version before the other routes' calls count as much. */
        const val MIN_ROUTE_CALLS = 3
        const val RARE_ROUTE_PART = 0.5

        /** With two endpoints, a faulty one can be told from a bad version. */
        const val MIN_CANARY_ENDPOINTS = 2

        /** Calls are selected more often than the share, as the share of calls so far limits them anyway. */
        const val SELECTION_FACTOR = 2.0
        const val HASH_FACTOR = -0x61c88647
        const val HASH_SHIFT = 15
        const val HASH_DROPPED_BITS = 8
        const val HASH_MASK = 0xffffff

        /** A point from 0 to 1 that depends on [key] only. */
        fun point(key: String): Double {
            val hash = key.hashCode() * HASH_FACTOR
            val mixed = (hash xor (hash ushr HASH_SHIFT)) * HASH_FACTOR
            return (mixed ushr HASH_DROPPED_BITS and HASH_MASK).toDouble() / HASH_MASK
        }
    }
}
