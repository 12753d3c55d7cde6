package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.Service

/**
 * What decides where a call goes.
 *
 * @property affinity value that calls share which gain from the same endpoint; null when there is none.
 * @property tried endpoints that had the call before.
 */
data class PlacementRequest(
    val service: Service,
    val affinity: String?,
    val tried: Set<String> = emptySet(),
)

/**
 * Chooses an endpoint for a call, or none when all are as full as they may be.
 *
 * Load pattern: many daemons that each see a part of the calls. Endpoints queue what they are sent, in order of
 * arrival and without priorities, so calls beyond the slots wait in the daemon, where they can be ordered, moved and
 * refused.
 */
class EndpointChooser(
    private val directory: EndpointDirectory,
    private val zone: String,
    private val clock: MonotonicClock,
    private val daemonCount: () -> Int,
) {
    /** The endpoint for [request], with its cold rate charged; null when the call has to wait. */
    fun choose(request: PlacementRequest): EndpointState? {
        val now = clock.now()
        val usable = directory.usable(request.service.name)
        val open = usable.filter { it.endpoint.id !in request.tried }.ifEmpty { usable }
        val calm = open.filter { it.avoidUntil <= now }.ifEmpty { open }
        val ranked = calm.filter { hasRoom(it) }.sortedBy { score(it, request) }
        return ranked.firstOrNull { mayTakeCold(it, request.service) }
    }

    private fun hasRoom(state: EndpointState): Boolean = state.load < FULL_LOAD

    private fun score(state: EndpointState, request: PlacementRequest): Double {
        val distance = if (state.endpoint.zone == zone) 0.0 else OTHER_ZONE_COST
        val affinity = request.affinity?.let { affinityCost(it, state.endpoint.id) } ?: 0.0
        val quality = (state.slowness - 1) * SLOWNESS_COST + state.failureRate * FAILURE_COST
        return state.load * state.slowness + quality + distance + affinity
    }

    /** Rendezvous hashing: every daemon prefers the same endpoint for the same value, without any message. */
    private fun affinityCost(value: String, endpointId: String): Double {
        val hash = (value.hashCode() * HASH_FACTOR + endpointId.hashCode()) * HASH_FACTOR
        return ((hash xor (hash ushr HASH_SHIFT)) and HASH_MASK).toDouble() / HASH_MASK * AFFINITY_COST
    }

    private fun mayTakeCold(state: EndpointState, service: Service): Boolean {
        val now = clock.now()
        if (service.coldRate <= 0 || state.coldUntil <= now) return true
        val part = (service.coldRate * COLD_PART / daemonCount().coerceAtLeast(1)).toInt().coerceAtLeast(1)
        return state.coldMeter.tryTake(now, part)
    }

    private companion object {
        /** Load at which an endpoint gets no more: its slots are taken. */
        const val FULL_LOAD = 1.0

        /** Load difference that a call accepts to stay in its zone, where bytes are free. */
        const val OTHER_ZONE_COST = 0.25

        /** Load difference that a call accepts to reach the endpoint that holds its prompt. */
        const val AFFINITY_COST = 0.3

        /** Weight of an endpoint's slowness while it is empty. */
        const val SLOWNESS_COST = 0.3

        /** Load difference that a call accepts to avoid an endpoint that fails every call. */
        const val FAILURE_COST = 1.5

        /** Part of the cold rate that is used: the bound lies above the rate, the rest covers uneven arrivals. */
        const val COLD_PART = 0.9
        const val HASH_FACTOR = -0x61c88647
        const val HASH_SHIFT = 15
        const val HASH_MASK = 0xffff
    }
}
