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

    /** Takes the share of [endpoint]'s cache memory that its load report shows as used. */
    fun memoryReported(endpoint: Endpoint, use: Double) {
        pools[endpoint.address]?.memoryUse = use
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

    /** Programs whose caches should leave engines that are short of memory, at most one for each engine. */
    fun relievePressure(): List<CacheDecision> {
        val now = clock.now()
        val pressed = pools.usable().filter { it.memoryUse > settings.memoryHigh }
        if (pressed.isEmpty()) return emptyList()
        val byHome = pauses.pausedSince.keys.groupBy { placement.homeOf(it) }
        return pressed.mapNotNull { slots ->
            val program = byHome[slots].orEmpty()
                .filter { slots.belief.holds(it) }
                .maxByOrNull { restOfPause(it, now) }
            program?.let { relieve(it, slots, now) }
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
        slots.belief.remove(program)
        val room = pools.usable().filter { it.memoryUse < settings.memoryHigh - ROOM_MARGIN }.minByOrNull { it.memoryUse }
        val isAbandoned = restOfPause(program, now).isInfinite()
        if (room == null || isAbandoned) return CacheDecision.Drop(program, slots.endpoint)
        return CacheDecision.Export(program, slots.endpoint, room.endpoint)
    }

    /** Infinite for a program that has paused much longer than it usually does. */
    private fun restOfPause(program: ProgramId, now: Duration): Duration {
        val paused = now - pauses.pausedSince.getValue(program)
        val expected = pauses.of(program)
        if (paused > expected * settings.abandonedAfter) return Duration.INFINITE
        return expected - paused
    }

    private companion object {
        const val ROOM_MARGIN = 0.15
    }
}
