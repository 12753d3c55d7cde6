package io.jasmineford.core.schedule

import io.jasmineford.core.program.ProgramId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Estimated content of one engine's KV cache. Cache events are late and incomplete, so estimates decay at a loss rate
 * learned from earlier estimates, and the cache hits reported with each answer correct them.
 */
internal class CacheEstimate {
    private val programs = object : LinkedHashMap<ProgramId, CachedProgram>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<ProgramId, CachedProgram>?) = size > PROGRAM_LIMIT
    }
    private val prefixes = HashMap<String, Duration>()
    private var lossPerSecond = 0.0

    /** Tokens of [call]'s prompt that this engine is expected to have cached. */
    fun expectedTokens(call: QueuedCall, now: Duration): Long {
        val held = call.program?.let { programs[it] }
        val own = held?.let { it.tokens * survivalRatio(now - it.at) } ?: 0.0
        val isPrefixHeld = call.prefix != null && call.prefix in prefixes
        val prefix = if (isPrefixHeld) call.prefixTokens.toDouble() else 0.0
        return maxOf(own, prefix).toLong().coerceAtMost(call.promptTokens)
    }

    /** Whether the engine is expected to cache anything of [program]. */
    fun holds(program: ProgramId): Boolean = program in programs

    /** Cached tokens of [program] at its last answer or event; zero when there was none. */
    fun tokensOf(program: ProgramId): Long = programs[program]?.tokens ?: 0

    /**
     * Records an answer to [call]: [cached] tokens were found in the cache, which now holds [total] tokens of the
     * program.
     */
    fun answered(call: QueuedCall, cached: Long, total: Long, now: Duration) {
        val program = call.program
        val before = program?.let { programs[it] }
        if (before != null && before.tokens > 0) updateLossRate(before, cached, now)
        if (program != null) programs[program] = CachedProgram(total, now)
        if (call.prefix != null) prefixes[call.prefix] = now
    }

    /** Records a cache event, unless the estimate may be newer than the event. */
    fun reported(program: ProgramId, tokens: Long, now: Duration) {
        val held = programs[program]
        if (held != null && now - held.at < EVENT_DELAY) return
        if (tokens == 0L) programs.remove(program) else programs[program] = CachedProgram(tokens, now)
    }

    /** Removes [program], whose cache was dropped or exported. */
    fun remove(program: ProgramId) {
        programs.remove(program)
    }

    /** Removes everything, as after an engine restart. */
    fun clear() {
        programs.clear()
        prefixes.clear()
    }

    private fun updateLossRate(before: CachedProgram, cached: Long, now: Duration) {
        val kept = (cached.toDouble() / before.tokens).coerceIn(MIN_KEPT_RATIO, 1.0)
        val age = (now - before.at).coerceAtLeast(1.seconds).toDouble(DurationUnit.SECONDS)
        lossPerSecond += SMOOTHING_FACTOR * (-ln(kept) / age - lossPerSecond)
    }

    private fun survivalRatio(age: Duration) = exp(-lossPerSecond * age.toDouble(DurationUnit.SECONDS))

    private class CachedProgram(val tokens: Long, val at: Duration)

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
        const val PROGRAM_LIMIT = 20_000
        const val SMOOTHING_FACTOR = 0.05
        const val MIN_KEPT_RATIO = 0.02

        /** Longest expected delay of a cache event. */
        val EVENT_DELAY = 3.seconds
    }
}
