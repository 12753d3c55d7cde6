package io.jasmineford.core.schedule

import io.jasmineford.core.program.ProgramId
import kotlin.time.Duration

/** Placement decision for one call. */
internal sealed interface PlacementResult {
    data class Now(val slots: EndpointSlots, val expectedCached: Long) : PlacementResult

    /** Every endpoint is full or excluded, or waiting for the one that caches the program is cheaper. */
    data object Later : PlacementResult
}

/**
 * Chooses the endpoint with the lowest expected cost, in prompt tokens to compute: uncached prompt tokens, load that
 * slows down its steps, and the wait for a slot when it is full. A call waits for the endpoint that caches its program
 * only while that costs less than computing the prompt elsewhere.
 */
internal class Placement(private val settings: ScheduleSettings, private val pools: EndpointPools) {
    private val lastEndpoints = object : LinkedHashMap<ProgramId, EndpointSlots>() {
        override fun removeEldestEntry(eldest: Map.Entry<ProgramId, EndpointSlots>?) = size > PROGRAM_LIMIT
    }

    /** Moving average of the time to compute one prompt token. */
    var prefillPerToken: Duration = settings.initialPrefillPerToken
        private set

    fun place(call: QueuedCall, now: Duration): PlacementResult {
        val pool = pools.of(call.deployment)
        // An endpoint that was removed and added again has a new EndpointSlots; the old one must not be used.
        val lastEndpoint = call.program
            ?.let { lastEndpoints[it] }
            ?.takeIf { pools[it.endpoint.address] === it && it in pool && isAllowed(it, call) }
        var best: EndpointSlots? = null
        var bestCost = Double.MAX_VALUE
        for (slots in pool.asSequence().filter { it.isFree && isAllowed(it, call) }.take(settings.candidateLimit)) {
            val cost = cost(slots, call, now)
            if (cost < bestCost) {
                best = slots
                bestCost = cost
            }
        }
        if (lastEndpoint != null) {
            val cost = cost(lastEndpoint, call, now) + waitTokens(lastEndpoint)
            if (cost <= bestCost) best = lastEndpoint
        }
        if (best == null || !best.isFree) return PlacementResult.Later
        return PlacementResult.Now(best, best.cache.expectedTokens(call, now))
    }

    /** Records the endpoint on which [program] ran last. */
    fun recordEndpoint(program: ProgramId, slots: EndpointSlots) {
        lastEndpoints[program] = slots
    }

    /** Endpoint on which [program] ran last, or null. */
    fun lastEndpointOf(program: ProgramId): EndpointSlots? = lastEndpoints[program]

    fun remove(program: ProgramId) {
        lastEndpoints.remove(program)
    }

    /** Records a first token that arrived [after] the dispatch, with [uncached] prompt tokens computed. */
    fun firstToken(uncached: Long, after: Duration) {
        if (uncached < MIN_SAMPLE_TOKENS) return
        prefillPerToken += (after / uncached.toDouble() - prefillPerToken) * SMOOTHING_FACTOR
    }

    private fun isAllowed(slots: EndpointSlots, call: QueuedCall) = slots.endpoint.name !in call.excluded

    private fun cost(slots: EndpointSlots, call: QueuedCall, now: Duration): Double {
        val uncached = call.promptTokens - slots.cache.expectedTokens(call, now)
        return uncached + slots.inFlight * settings.loadPenaltyTokens
    }

    private fun waitTokens(slots: EndpointSlots): Double {
        if (slots.isFree) return 0.0
        if (slots.window == 0) return Double.MAX_VALUE
        return slots.meanServiceTime / slots.window / prefillPerToken
    }

    private companion object {
        const val PROGRAM_LIMIT = 200_000

        /** Answers with fewer uncached prompt tokens do not update [prefillPerToken]. */
        const val MIN_SAMPLE_TOKENS = 200
        const val SMOOTHING_FACTOR = 0.02
    }
}
