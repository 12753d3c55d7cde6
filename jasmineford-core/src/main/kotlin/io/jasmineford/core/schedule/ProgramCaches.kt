package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * KV caches of programs between their calls. A paused program's cache is held while its engine has memory. Under memory
 * pressure the program with the longest expected rest of its pause gives way: it is exported to an endpoint with room, or
 * dropped when there is none or the program seems abandoned. Engines themselves evict the least recently used, which is
 * often the one that returns next.
 */
class ProgramCaches internal constructor(
    private val clock: MonotonicClock,
    private val settings: ScheduleSettings,
    private val pools: EndpointPools,
    private val placement: Placement,
) {
    internal val pauses = PauseEstimate()

    /** Takes a cache event of [endpoint]. */
    fun reported(endpoint: Endpoint, program: ProgramId, tokens: Long) {
        pools[endpoint.address]?.belief?.reported(program, tokens, clock.now())
    }

    /** Takes the cache memory in tokens that [endpoint]'s load report shows. */
    fun memoryReported(endpoint: Endpoint, used: Long, capacity: Long) {
        pools[endpoint.address]?.memory?.reported(used, capacity)
    }

    /** Forgets what [endpoint] held, as after a restart. */
    fun lost(endpoint: Endpoint) {
        pools[endpoint.address]?.belief?.clear()
    }

    /** Takes the end of an export that [to] accepted. */
    fun moved(program: ProgramId, to: Endpoint, tokens: Long) {
        val slots = pools[to.address] ?: return
        slots.belief.reported(program, tokens, clock.now())
        placement.ranAt(program, slots)
    }

    /** Paused programs whose caches should leave engines that are short of memory. */
    fun relievePressure(): List<CacheDecision> {
        val now = clock.now()
        val pressed = pools.usable().filter { use(it, now) > settings.memoryHigh }
        if (pressed.isEmpty()) return emptyList()
        val byHome = pauses.programs.groupBy { placement.homeOf(it) }
        return pressed.flatMap { slots ->
            val candidates = byHome[slots].orEmpty()
                .filter { slots.belief.holds(it) }
                .sortedByDescending { restOfPause(it, now) }
            candidates.asSequence()
                .takeWhile { use(slots, now) > settings.memoryHigh && restOfPause(it, now) > settings.shortPause }
                .map { relieve(it, slots, now) }
                .toList()
        }
    }

    internal fun ended(program: ProgramId): List<CacheDecision> {
        pauses.remove(program)
        placement.remove(program)
        val holders = pools.usable().filter { it.belief.holds(program) }
        holders.forEach { it.belief.remove(program) }
        return holders.map { CacheDecision.Drop(program, it.endpoint) }
    }

    private fun relieve(program: ProgramId, slots: EndpointSlots, now: Duration): CacheDecision {
        val tokens = slots.belief.tokensOf(program)
        slots.memory.freed(tokens, now)
        slots.belief.remove(program)
        val room = pools.usable()
            .filter { use(it, now) < settings.memoryHigh - ROOM_MARGIN }
            .minByOrNull { use(it, now) }
        val isAbandoned = restOfPause(program, now).isInfinite()
        if (room == null || isAbandoned) return CacheDecision.Drop(program, slots.endpoint)
        return CacheDecision.Export(program, slots.endpoint, room.endpoint)
    }

    private fun use(slots: EndpointSlots, now: Duration) = slots.memory.use(now, settings.reportLag)

    private fun restOfPause(program: ProgramId, now: Duration) = pauses.restOf(program, now, settings.abandonedAfter)

    private companion object {
        const val ROOM_MARGIN = 0.15
    }
}
