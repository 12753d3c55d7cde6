package io.jasmineford.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Token bucket on a monotonic clock. In any interval of length t at most `ratePerSecond * t + burst` tokens are taken.
 *
 * @param startLevel tokens at [startedAt].
 */
class TokenBucket(
    private val ratePerSecond: Double,
    private val burst: Double,
    startedAt: Duration,
    startLevel: Double = burst,
) {
    private var level = startLevel
    private var updatedAt = startedAt

    /** Takes [amount] tokens at [now], or takes none and returns false. */
    fun tryTake(now: Duration, amount: Double = 1.0): Boolean {
        refill(now)
        val isEnough = level >= amount
        if (isEnough) level -= amount
        return isEnough
    }

    /** Time from [now] until [amount] tokens are available if none are taken; infinite when they exceed the burst. */
    fun timeUntil(now: Duration, amount: Double = 1.0): Duration {
        refill(now)
        return when {
            level >= amount -> Duration.ZERO
            amount > burst -> Duration.INFINITE
            else -> ((amount - level) / ratePerSecond).seconds
        }
    }

    private fun refill(now: Duration) {
        val elapsed = (now - updatedAt).toDouble(DurationUnit.SECONDS)
        if (elapsed <= 0) return
        level = minOf(burst, level + elapsed * ratePerSecond)
        updatedAt = now
    }
}
