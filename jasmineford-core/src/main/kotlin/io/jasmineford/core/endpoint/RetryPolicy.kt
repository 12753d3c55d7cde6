package io.jasmineford.core.endpoint

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a call failed at its endpoint. */
enum class FailureKind {
    /** The endpoint never took the request: the connection was refused. */
    NOT_RUN,

    /** The connection broke or timed out; the request may have run. */
    MAY_HAVE_RUN,
}

/**
 * Rules of [RetryPolicy].
 *
 * @property share retries as a share of first attempts over time.
 * @property reserve retries that may be made at once after a quiet time.
 * @property maxAttempts attempts of one call, the first one included.
 * @property firstBackoff upper end of the first wait; it doubles up to [longestBackoff].
 */
data class RetrySettings(
    val share: Double = 0.1,
    val reserve: Double = 20.0,
    val maxAttempts: Int = 4,
    val firstBackoff: Duration = 50.milliseconds,
    val longestBackoff: Duration = 2.seconds,
)

/**
 * Decides whether a failed call is tried again. Only a call that did not run or is idempotent is, with full jitter, and
 * only while retries stay within a share of first attempts, so that they cannot multiply the load on a failing fleet.
 */
class RetryPolicy(private val settings: RetrySettings, private val random: Random) {
    private var budget = settings.reserve

    /** Counts a first attempt. */
    fun firstAttempt() {
        budget = (budget + settings.share).coerceAtMost(settings.reserve)
    }

    /**
     * Wait before the next attempt after [attempts] attempts, or null when the call fails.
     *
     * @param timeLeft time until the call's deadline.
     */
    fun retryAfter(attempts: Int, failure: FailureKind, isIdempotent: Boolean, timeLeft: Duration): Duration? {
        val isAllowed = failure == FailureKind.NOT_RUN || isIdempotent
        if (!isAllowed || attempts >= settings.maxAttempts || budget < 1) return null
        val longest = minOf(settings.firstBackoff * (1 shl (attempts - 1)), settings.longestBackoff)
        val wait = longest * random.nextDouble()
        if (wait >= timeLeft) return null
        budget -= 1
        return wait
    }
}
