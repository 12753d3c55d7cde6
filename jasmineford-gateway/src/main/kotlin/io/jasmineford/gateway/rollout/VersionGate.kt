package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
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
    slackPart: (key: String, total: Int) -> Int = { _, _ -> 0 },
) {
    private val canary = CanarySelection(clock, bounds, slackPart)
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
            isFresh && canary.isEarly(rollout, request) -> listOf(new, old)
            isFresh && canary.isSelected(rollout, request) -> listOf(canary.endpoints(rollout, new), old)
            else -> listOf(old)
        }
    }

    /** Counts a call of [request] that is sent to the endpoint of [state]. */
    fun recordPlaced(request: PlacementRequest, state: EndpointState) {
        val rollout = counting(request.service.name) ?: return
        rollout.usage.recordSent(request.route, isNew = state.endpoint.version == rollout.order.to)
    }

    /**
     * Counts the end of a call on [route] at the endpoint of [state] after [total]; [time] is that of an event for
     * streams.
     */
    fun recordEnd(
        state: EndpointState,
        route: String,
        result: AttemptResult,
        time: Duration,
        total: Duration = time,
    ) {
        val endpoint = state.endpoint
        val rollout = counting(endpoint.service) ?: return
        val isNew = endpoint.version == rollout.order.to
        rollout.usage.recordEnd(AttemptEnd(route, isNew, endpoint.id, result, time, total), clock.now())
    }

    private fun counting(service: String) = known[service]?.takeIf { it.outcome == null }

    private companion object {
        /** Part of the rollback time in which streams of the new version may be taken up after a rollback. */
        const val RESUME_PART = 0.4
    }
}
