package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * Manages KV caches of programs between their calls. A paused program's cache is kept while its engine has memory.
 * Under memory pressure the program with the longest expected remaining pause is evicted first: its cache is exported
 * to an endpoint with free memory, or dropped when there is none or the program counts as abandoned. Engines themselves
 * evict the least recently used cache, which often belongs to the program that continues next.
 */
class ProgramCaches internal constructor(
    private val clock: MonotonicClock,
    private val settings: ScheduleSettings,
    private val pools: EndpointPools,
    private val placement: Placement,
) {
    internal val pauses = PauseEstimate()

    /** Records a cache event of [endpoint]: it now caches [tokens] tokens of [program]. */
    fun cacheReported(endpoint: Endpoint, program: ProgramId, tokens: Long) {
        pools[endpoint.address]?.cache?.reported(program, tokens, clock.now())
    }

    /** Records cache memory use and capacity in tokens from a load report of [endpoint]. */
    fun memoryReported(endpoint: Endpoint, used: Long, capacity: Long) {
        pools[endpoint.address]?.memory?.reported(used, capacity)
    }

    /** Records that [endpoint] lost its cache, as after a restart. */
    fun cacheLost(endpoint: Endpoint) {
        pools[endpoint.address]?.cache?.clear()
    }

    /** Records that [to] accepted an export with [tokens] tokens. */
    fun cacheExported(program: ProgramId, to: Endpoint, tokens: Long) {
        val slots = pools[to.address] ?: return
        slots.cache.reported(program, tokens, clock.now())
        placement.recordEndpoint(program, slots)
    }

    /** Evictions of paused programs' caches from engines above [ScheduleSettings.memoryHighWatermark]. */
    fun relievePressure(): List<CacheDecision> {
        val now = clock.now()
        val overloaded = pools.usable().filter { use(it, now) > settings.memoryHighWatermark }
        if (overloaded.isEmpty()) return emptyList()
        val byLastEndpoint = pauses.programs.groupBy { placement.lastEndpointOf(it) }
        return overloaded.flatMap { slots ->
            val candidates = byLastEndpoint[slots].orEmpty()
                .filter { slots.cache.holds(it) }
                .sortedByDescending { remainingPauseOf(it, now) }
            candidates.asSequence()
                .takeWhile { use(slots, now) > settings.memoryHighWatermark }
                .takeWhile { remainingPauseOf(it, now) > settings.minPauseToEvict }
                .map { evict(it, slots, now) }
                .toList()
        }
    }

    /**
     * Exports the caches of paused programs from the endpoints [leaving] service, spread evenly over the other
     * endpoints.
     */
    fun evacuate(leaving: List<Endpoint>): List<CacheDecision> {
        val now = clock.now()
        val addresses = leaving.map { it.address }.toSet()
        val staying = pools.usable().filter { it.endpoint.address !in addresses }
        if (staying.isEmpty()) return emptyList()
        val leavingSlots = addresses.mapNotNull { pools[it] }
        return pauses.programs.mapIndexedNotNull { index, program ->
            val lastEndpoint = placement.lastEndpointOf(program)
                ?.takeIf { it in leavingSlots && it.cache.holds(program) }
            val remaining = lastEndpoint?.let { remainingPauseOf(program, now) }
            if (lastEndpoint == null || remaining == null || remaining.isInfinite()) return@mapIndexedNotNull null
            lastEndpoint.cache.remove(program)
            CacheDecision.Export(program, lastEndpoint.endpoint, staying[index % staying.size].endpoint)
        }
    }

    internal fun ended(program: ProgramId): List<CacheDecision> {
        pauses.remove(program)
        placement.remove(program)
        val cachingEndpoints = pools.usable().filter { it.cache.holds(program) }
        cachingEndpoints.forEach { it.cache.remove(program) }
        return cachingEndpoints.map { CacheDecision.Drop(program, it.endpoint) }
    }

    private fun evict(program: ProgramId, slots: EndpointSlots, now: Duration): CacheDecision {
        val tokens = slots.cache.tokensOf(program)
        slots.memory.freed(tokens, now)
        slots.cache.remove(program)
        val target = pools.usable()
            .filter { use(it, now) < settings.memoryHighWatermark - TARGET_MARGIN }
            .minByOrNull { use(it, now) }
        val isAbandoned = remainingPauseOf(program, now).isInfinite()
        if (target == null || isAbandoned) return CacheDecision.Drop(program, slots.endpoint)
        return CacheDecision.Export(program, slots.endpoint, target.endpoint)
    }

    private fun use(slots: EndpointSlots, now: Duration) = slots.memory.use(now, settings.reportLag)

    private fun remainingPauseOf(program: ProgramId, now: Duration) =
        pauses.remainingPause(program, now, settings.abandonedPauseRatio)

    private companion object {
        /**
         * An export needs a target this far below [ScheduleSettings.memoryHighWatermark], as a fraction of its memory.
         */
        const val TARGET_MARGIN = 0.15
    }
}
