package io.jasmineford.core.schedule

import io.jasmineford.core.program.ProgramId
import kotlin.time.Duration

/** Where a call should run. */
internal sealed interface Place {
    data class Now(val slots: EndpointSlots, val expectedCached: Long) : Place

    /** Every endpoint is full or excluded, or waiting for the one that holds the prefix costs less. */
    data object Later : Place
}

/**
 * Chooses the endpoint with the least expected cost in time: prompt tokens to compute there, the load that slows its
 * steps, and the wait for a slot when it is full. A call waits for the endpoint that holds its prefix only while that
 * costs less than computing the prefix elsewhere.
 */
internal class Placement(private val settings: ScheduleSettings, private val pools: EndpointPools) {
    private val homes = object : LinkedHashMap<ProgramId, EndpointSlots>() {
        override fun removeEldestEntry(eldest: Map.Entry<ProgramId, EndpointSlots>?) = size > PROGRAM_LIMIT
    }

    /** Time to compute one prompt token, learned from answers. */
    var prefillPerToken: Duration = settings.initialPrefillPerToken
        private set

    fun place(call: QueuedCall, now: Duration): Place {
        val pool = pools.of(call.deployment)
        // Endpoints that left and returned have new slots; those of before must not be used again.
        val home = call.program?.let { homes[it] }?.takeIf { pools[it.endpoint.address] === it && it in pool && isAllowed(it, call) }
        var best: EndpointSlots? = null
        var bestCost = Double.MAX_VALUE
        for (slots in pool.asSequence().filter { it.isFree && isAllowed(it, call) }.take(settings.candidateLimit)) {
            val cost = cost(slots, call, now)
            if (cost < bestCost) {
                best = slots
                bestCost = cost
            }
        }
        if (home != null) {
            val cost = cost(home, call, now) + waitTokens(home)
            if (cost <= bestCost) best = home
        }
        if (best == null || !best.isFree) return Place.Later
        return Place.Now(best, best.belief.expectedTokens(call, now))
    }

    /** Records where a program ran last. */
    fun ranAt(program: ProgramId, slots: EndpointSlots) {
        homes[program] = slots
    }

    /** Where [program] ran last. */
    fun homeOf(program: ProgramId): EndpointSlots? = homes[program]

    fun remove(program: ProgramId) {
        homes.remove(program)
    }

    /** Learns from a first token that came [after] its dispatch, with [uncached] tokens computed. */
    fun firstToken(uncached: Long, after: Duration) {
        if (uncached < LEARN_FROM_TOKENS) return
        prefillPerToken += (after / uncached.toDouble() - prefillPerToken) * LEARNING_RATE
    }

    private fun isAllowed(slots: EndpointSlots, call: QueuedCall) = slots.endpoint.name !in call.excluded

    private fun cost(slots: EndpointSlots, call: QueuedCall, now: Duration): Double {
        val uncached = call.promptTokens - slots.belief.expectedTokens(call, now)
        return uncached + slots.inFlight * settings.loadPenaltyTokens
    }

    private fun waitTokens(slots: EndpointSlots): Double {
        if (slots.isFree) return 0.0
        if (slots.window == 0) return Double.MAX_VALUE
        return slots.meanService / slots.window / prefillPerToken
    }

    private companion object {
        const val PROGRAM_LIMIT = 200_000
        const val LEARN_FROM_TOKENS = 200
        const val LEARNING_RATE = 0.02
    }
}
