package io.jasmineford.core.schedule

import io.jasmineford.core.program.Usage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [CallScheduler].
 *
 * @property cost cost of a call, charged to its account and its program.
 * @property ageBound wait after which a call goes before the other calls of its account.
 * @property lookupsPerDraft consecutive lookups that may be dispatched while a draft waits.
 * @property loadPenaltyTokens cost in placement of each call in flight at an endpoint, in prompt tokens. A larger batch
 *   slows down every step of every call in it.
 * @property scanLimit waiting calls examined per decision when the first ones prefer to wait for their endpoint.
 * @property candidateLimit number of least loaded endpoints that placement compares, besides the program's last
 *   endpoint.
 * @property initialPrefillPerToken initial estimate of the time to compute one prompt token.
 * @property memoryHighWatermark high-water mark: fraction of an endpoint's cache memory above which caches of paused
 *   programs are exported or dropped.
 * @property minPauseToEvict expected remaining pause up to which a cache is always kept.
 * @property reportLag longest age of an engine's load report.
 * @property abandonedPauseRatio multiple of the expected pause after which a paused program counts as abandoned.
 */
data class ScheduleSettings(
    val cost: TokenCost = TokenCost(),
    val ageBound: Duration = 5.seconds,
    val lookupsPerDraft: Int = 4,
    val loadPenaltyTokens: Double = 100.0,
    val scanLimit: Int = 64,
    val candidateLimit: Int = 8,
    val initialPrefillPerToken: Duration = 0.05.milliseconds,
    val memoryHighWatermark: Double = 0.85,
    val minPauseToEvict: Duration = 2.seconds,
    val reportLag: Duration = 2.seconds,
    val abandonedPauseRatio: Double = 6.0,
)

/**
 * Cost of a call in units of one uncached prompt token. Decoding occupies an engine about ten times longer per token
 * than prefill, so output tokens cost more, as in the Virtual Token Counter publication (Sheng et al., 2024), which
 * leaves the weights to the operator.
 */
data class TokenCost(
    val uncachedPrompt: Double = 1.0,
    val cachedPrompt: Double = 0.02,
    val completion: Double = 10.0,
) {
    /** Cost of a call with [usage]. */
    fun of(usage: Usage): Double = of(usage.prompt - usage.cached, usage.cached, usage.completion.toDouble())

    internal fun of(uncached: Long, cached: Long, output: Double): Double =
        uncached.coerceAtLeast(0) * uncachedPrompt + cached * cachedPrompt + output * completion
}
