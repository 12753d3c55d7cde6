package io.jasmineford.core.schedule

import io.jasmineford.core.program.ProgramId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What an engine's KV cache is believed to hold. Cache events come late and with gaps, so that a belief decays at the
 * rate at which earlier beliefs turned out wrong, and each answer's reported hits correct it.
 */
internal class CacheBelief {
    private val programs = object : LinkedHashMap<ProgramId, Held>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<ProgramId, Held>?) = size > PROGRAM_LIMIT
    }
    private val prefixes = HashMap<String, Duration>()
    private var lossPerSecond = 0.0

    /** Tokens of [call]'s prompt that this engine is expected to have. */
    fun expectedTokens(call: QueuedCall, now: Duration): Long {
        val held = call.program?.let { programs[it] }
        val own = held?.let { it.tokens * survival(now - it.at) } ?: 0.0
        val isPrefixHeld = call.prefix != null && call.prefix in prefixes
        val prefix = if (isPrefixHeld) call.prefixTokens.toDouble() else 0.0
        return maxOf(own, prefix).toLong().coerceAtMost(call.promptTokens)
    }

    /** Whether anything of [program] is believed held. */
    fun holds(program: ProgramId): Boolean = program in programs

    /** Tokens of [program] held when it was last seen, or zero. */
    fun tokensOf(program: ProgramId): Long = programs[program]?.tokens ?: 0

    /** Takes the answer of a call: [cached] tokens were found, and [total] tokens of the program are held now. */
    fun answered(call: QueuedCall, cached: Long, total: Long, now: Duration) {
        val program = call.program
        val before = program?.let { programs[it] }
        if (before != null && before.tokens > 0) learn(before, cached, now)
        if (program != null) programs[program] = Held(total, now)
        if (call.prefix != null) prefixes[call.prefix] = now
    }

    /** Takes a cache event, unless the belief is newer than the event may be. */
    fun reported(program: ProgramId, tokens: Long, now: Duration) {
        val held = programs[program]
        if (held != null && now - held.at < EVENT_DELAY) return
        if (tokens == 0L) programs.remove(program) else programs[program] = Held(tokens, now)
    }

    /** Forgets [program], whose cache was dropped or exported. */
    fun remove(program: ProgramId) {
        programs.remove(program)
    }

    /** Forgets everything, as when the engine restarted. */
    fun clear() {
        programs.clear()
        prefixes.clear()
    }

    private fun learn(before: Held, cached: Long, now: Duration) {
        val kept = (cached.toDouble() / before.tokens).coerceIn(SMALLEST_KEPT, 1.0)
        val age = (now - before.at).coerceAtLeast(1.seconds).toDouble(DurationUnit.SECONDS)
        lossPerSecond += LEARNING_RATE * (-ln(kept) / age - lossPerSecond)
    }

    private fun survival(age: Duration) = exp(-lossPerSecond * age.toDouble(DurationUnit.SECONDS))

    private class Held(val tokens: Long, val at: Duration)

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
        const val PROGRAM_LIMIT = 20_000
        const val LEARNING_RATE = 0.05
        const val SMALLEST_KEPT = 0.02
        val EVENT_DELAY = 3.seconds
    }
}
