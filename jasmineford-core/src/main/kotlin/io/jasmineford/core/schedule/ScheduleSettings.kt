package io.jasmineford.core.schedule

import io.jasmineford.core.program.Usage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rules of [CallScheduler].
 *
 * @property cost what a call costs its account and its program.
 * @property ageBound wait after which a call goes before the other calls of its account.
 * @property lookupsPerDraft lookups that may go first, one after another, while a draft waits.
 * @property loadPenaltyTokens tokens of prefill that one more call in flight at an endpoint is worth in placement. A larger
 *   batch slows every step of every call in it.
 * @property scanLimit waiting calls that one decision looks at when the first ones prefer to wait for their endpoint.
 * @property candidateLimit least loaded endpoints that placement compares, besides those that hold the program's prefix.
 * @property memoryHigh share of an endpoint's cache memory above which paused programs are exported or dropped.
 * @property shortPause expected rest of a pause up to which a cache is held in any case.
 * @property reportLag age that an engine's load report may have.
 * @property abandonedAfter multiple of the expected pause after which a paused program counts as abandoned.
 */
data class ScheduleSettings(
    val cost: TokenCost = TokenCost(),
    val ageBound: Duration = 5.seconds,
    val lookupsPerDraft: Int = 4,
    val loadPenaltyTokens: Double = 100.0,
    val scanLimit: Int = 64,
    val candidateLimit: Int = 8,
    val initialPrefillPerToken: Duration = 0.05.milliseconds,
    val memoryHigh: Double = 0.85,
    val shortPause: Duration = 2.seconds,
    val reportLag: Duration = 2.seconds,
    val abandonedAfter: Double = 6.0,
)

/**
 * Cost of a call in tokens of uncached prompt. Decoding occupies an engine about ten times longer per token than
 * computing the prompt, so output counts more, as in the Virtual Token Counter publication (Sheng et al., 2024), which
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
