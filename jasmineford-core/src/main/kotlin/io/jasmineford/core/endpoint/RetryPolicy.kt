package io.jasmineford.core.endpoint

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a call failed at its endpoint. */
enum class FailureKind {
    /** The endpoint never received the request: the connection was refused. */
    NOT_RUN,

    /** The connection broke or timed out; the request may have run. */
    MAY_HAVE_RUN,
}

/**
 * Settings of [RetryPolicy].
 *
 * @property budgetPerCall retry budget gained per first attempt.
 * @property budgetCapacity capacity of the retry budget: retries allowed in a burst.
 * @property maxAttempts attempts per call, including the first.
 * @property firstBackoff upper bound of the first back-off; doubles at each attempt up to [maxBackoff].
 */
data class RetrySettings(
    val budgetPerCall: Double = 0.1,
    val budgetCapacity: Double = 20.0,
    val maxAttempts: Int = 4,
    val firstBackoff: Duration = 50.milliseconds,
    val maxBackoff: Duration = 2.seconds,
)

/**
 * Decides whether a failed call is retried. Only calls that did not run or are idempotent are retried, with exponential
 * back-off and full jitter. A retry budget bounds retries to a share of first attempts, so that they cannot multiply
 * the load on a failing fleet.
 */
class RetryPolicy(private val settings: RetrySettings, private val random: Random) {
    private var budget = settings.budgetCapacity

    /** Counts a first attempt. */
    fun firstAttempt() {
        budget = (budget + settings.budgetPerCall).coerceAtMost(settings.budgetCapacity)
    }

    /**
     * Back-off before the next attempt after [attempts] attempts, or null when the call must not be retried.
     *
     * @param timeLeft time until the call's deadline.
     */
    fun retryAfter(attempts: Int, failure: FailureKind, isIdempotent: Boolean, timeLeft: Duration): Duration? {
        val isAllowed = failure == FailureKind.NOT_RUN || isIdempotent
        if (!isAllowed || attempts >= settings.maxAttempts || budget < 1) return null
        val longest = minOf(settings.firstBackoff * (1 shl (attempts - 1)), settings.maxBackoff)
        val wait = longest * random.nextDouble()
        if (wait >= timeLeft) return null
        budget -= 1
        return wait
    }
}
