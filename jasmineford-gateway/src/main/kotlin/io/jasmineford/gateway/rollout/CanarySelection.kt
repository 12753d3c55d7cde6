package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import kotlin.math.roundToInt

/**
 * Selects the calls that go to the new version before all calls move, and their endpoints.
 *
 * @param bounds null where rollouts are not in use.
 * @param slackPart part of this daemon in a number of calls that all daemons share, by a key.
 */
internal class CanarySelection(
    private val clock: MonotonicClock,
    private val bounds: RolloutBounds?,
    private val slackPart: (key: String, total: Int) -> Int,
) {
    /** Whether the call is of a long route, whose calls move before the others within a part of the exposure. */
    fun isEarly(rollout: RolloutProgress, request: PlacementRequest): Boolean {
        val elapsed = clock.now() - rollout.startedAt
        val schedule = rollout.order.schedule
        val usage = rollout.usage
        val isDue = elapsed >= schedule.moveOf(usage.longestTime(request.route)) && elapsed < schedule.move
        if (bounds == null || !isDue) return false
        val isFirst = rollout.round == 0 && request.tried.isEmpty()
        return isFirst && usage.sentToNew < bounds.earlyShare * (usage.sent + 1) + slackOf(request.service.name, bounds)
    }

    private fun slackOf(service: String, bounds: RolloutBounds) = slackPart("rollout/$service", bounds.canarySlack)

    /** Whether the call is one of the canary's. */
    fun isSelected(rollout: RolloutProgress, request: PlacementRequest): Boolean {
        // A call that has failed at the new version is not sent there again.
        if (bounds == null || request.tried.isNotEmpty()) return false
        val usage = rollout.usage
        val slack = slackOf(request.service.name, bounds)
        val allowed = (bounds.canaryShare * (usage.sent + 1) + slack).toLong()
        val isUnderTested = usage.sentToNew(request.route) < MIN_ROUTE_CALLS
        val part = if (isUnderTested) RARE_ROUTE_PART else bounds.canaryShare * SELECTION_FACTOR
        return usage.sentToNew < allowed && point("${rollout.opened}/${request.callKey}") < part
    }

    /**
     * The endpoints that carry the canary's calls: so few that each has the load that it would have with all calls.
     * Those that warm up respond more slowly, which says nothing of their version.
     */
    fun endpoints(rollout: RolloutProgress, new: List<EndpointState>): List<EndpointState> {
        val now = clock.now()
        val count = (new.size * (bounds?.canaryShare ?: 0.0)).roundToInt().coerceAtLeast(MIN_CANARY_ENDPOINTS)
        return new.filter { it.coldUntil <= now }
            .map { it to point("${rollout.opened}/${it.endpoint.id}") }
            .sortedBy { it.second }.take(count).map { it.first }
    }

    private companion object {
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
