package io.jasmineford.standin.engine

import kotlin.random.Random
import kotlin.time.Duration

/**
 * Simulated model engine with continuous batching, in virtual time.
 *
 * Each step decodes one token of every running sequence and computes a chunk of the prompts in arrival order. The
 * caller calls [advance] at [nextEventAt] and handles the returned signals. A cold engine is slower and crashes above a
 * small number of concurrent requests, until completed requests have warmed it up; after a crash it is cold.
 */
class FakeEngine(
    val name: String,
    val profile: EngineProfile = EngineProfile(),
    random: Random = Random(1),
    isCold: Boolean = false,
) {
    private val reports = DelayedReports(profile, random)
    private var now = Duration.ZERO
    private val waiting = ArrayDeque<EngineJob>()
    private val running = mutableListOf<Sequence>()
    private val signals = mutableListOf<EngineSignal>()
    private var stepEnd = Duration.INFINITE
    private var downUntil = Duration.ZERO
    private var hungUntil = Duration.ZERO
    private var exactConcurrencyLimit = if (isCold) profile.coldConcurrencyLimit.toDouble() else warmConcurrencyLimit()

    /** KV cache of this engine. */
    val cache = PromptCache(profile.cacheTokens) { reports.record(now, it) }

    /** Requests that run or wait on this engine. */
    val inFlight: Int get() = running.size + waiting.size

    /** Concurrent requests above which the engine crashes. */
    val concurrencyLimit: Int get() = exactConcurrencyLimit.toInt()

    /** Crashes so far, by overload, by a fatal request or by [crash]. */
    var crashes: Int = 0
        private set

    /** Time at which [advance] is due; infinite when the engine is idle. */
    fun nextEventAt(): Duration = if (signals.isEmpty()) maxOf(stepEnd, hungUntil) else now

    /** Queues [job], or fails it when the engine is down. The engine crashes above its concurrency limit. */
    fun submit(at: Duration, job: EngineJob) {
        now = at
        if (at < downUntil) {
            signals += EngineSignal.Failed(job.id, at, isRefused = true)
            return
        }
        waiting.addLast(job)
        if (inFlight > concurrencyLimit) crash(at) else if (stepEnd.isInfinite()) startStep(at)
        recordLoad()
    }

    /** Aborts a request and releases its cache memory. */
    fun cancel(at: Duration, job: Long) {
        now = at
        waiting.removeAll { it.id == job }
        val sequence = running.firstOrNull { it.job.id == job } ?: return
        running.remove(sequence)
        cache.release(sequence.job.prompt, sequence.job.outputTokens)
    }

    /** Runs all steps that end by [until] and returns the signals since the last call. */
    fun advance(until: Duration): List<EngineSignal> {
        while (maxOf(stepEnd, hungUntil) <= until && !stepEnd.isInfinite()) {
            now = maxOf(stepEnd, hungUntil)
            endStep(now)
            if (now >= downUntil) startStep(now)
        }
        now = maxOf(now, until)
        return signals.toList().also { signals.clear() }
    }

    /** Fails all requests in flight; the engine accepts requests again, cold, after [downFor]. */
    fun crash(at: Duration, downFor: Duration = profile.restartAfter) {
        now = at
        crashes++
        downUntil = at + downFor
        (running.map { it.job } + waiting).forEach { signals += EngineSignal.Failed(it.id, at, isRefused = false) }
        running.clear()
        waiting.clear()
        cache.clear()
        stepEnd = Duration.INFINITE
        exactConcurrencyLimit = profile.coldConcurrencyLimit.toDouble()
        recordLoad()
    }

    /** Makes the engine cold without a crash: lower concurrency limit and, when idle, an empty cache. */
    fun resetToCold() {
        exactConcurrencyLimit = profile.coldConcurrencyLimit.toDouble()
        if (running.isEmpty()) cache.clear()
    }

    /** Suspends all steps until [until]. */
    fun hang(until: Duration) {
        hungUntil = until
    }

    /** Cache events that became visible since the last call. */
    fun cacheEvents(at: Duration): List<CacheEvent> = reports.events(at)

    /** Load report visible at [at], which lags by [EngineProfile.reportLag]. */
    fun loadReport(at: Duration): LoadReport = reports.load(at)

    private fun startStep(at: Duration) {
        admit()
        if (running.isEmpty()) {
            stepEnd = Duration.INFINITE
            return
        }
        var budget = profile.prefillChunk
        for (sequence in running) {
            sequence.chunk = minOf(budget, sequence.prefillLeft)
            budget -= sequence.chunk
        }
        val decoding = running.count { it.prefillLeft == 0 }
        val time = profile.stepTime(decoding, profile.prefillChunk - budget)
        stepEnd = at + time * slowdown()
    }

    private fun admit() {
        while (running.size < profile.maxBatch && waiting.isNotEmpty()) {
            val job = waiting.first()
            val cached = cache.match(job.prompt)
            if (!cache.reserve(job.prompt, job.outputTokens)) return
            waiting.removeFirst()
            // The last prompt token is always computed, since it yields the first output token.
            running += Sequence(job, cached, prefillLeft = (job.prompt.tokens - cached).coerceAtLeast(1))
        }
    }

    private fun endStep(at: Duration) {
        val fatal = running.any { it.job.isFatal && it.chunk == it.prefillLeft && it.chunk > 0 }
        if (fatal) return crash(at)
        for (sequence in running) step(sequence, at)
        val ended = running.filter { it.produced >= it.job.outputTokens }
        running.removeAll(ended)
        for (sequence in ended) {
            cache.release(sequence.job.prompt, sequence.job.outputTokens)
            signals += EngineSignal.Completed(sequence.job.id, at, sequence.cached)
            exactConcurrencyLimit = minOf(warmConcurrencyLimit(), exactConcurrencyLimit + profile.limitGainPerAnswer)
        }
        if (ended.isNotEmpty()) recordLoad()
    }

    private fun step(sequence: Sequence, at: Duration) {
        val isDecoding = sequence.prefillLeft == 0
        sequence.prefillLeft -= sequence.chunk
        val isComputed = sequence.prefillLeft == 0 && sequence.chunk > 0
        sequence.chunk = 0
        if (isDecoding || isComputed) sequence.produced++
        if (isComputed) signals += EngineSignal.FirstToken(sequence.job.id, at, sequence.cached)
    }

    private fun slowdown(): Double {
        val coldness = 1 - (exactConcurrencyLimit / profile.maxBatch).coerceAtMost(1.0)
        return 1 + (profile.coldSlowdown - 1) * coldness
    }

    private fun warmConcurrencyLimit() = profile.maxBatch * WARM_LIMIT_IN_BATCHES

    private fun recordLoad() = reports.record(now, LoadReport(running.size, waiting.size, cache.usedTokens))

    private class Sequence(val job: EngineJob, val cached: Int, var prefillLeft: Int) {
        var chunk = 0
        var produced = 0
    }

    private companion object {
        /** Concurrency limit of a warm engine in batches; high enough that no simulated load reaches it. */
        const val WARM_LIMIT_IN_BATCHES = 1_000.0
    }
}
