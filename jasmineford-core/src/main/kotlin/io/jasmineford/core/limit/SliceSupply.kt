package io.jasmineford.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The quantity that a [SliceLender] lends from. `lent` is always the number of units lent at the time of the call. */
interface SliceSupply {
    /** Updates the quantity to [now]; [lent] units were lent during all the time since the last call. */
    fun advance(now: Duration, lent: Double)

    /** Units that can be lent now. */
    fun available(lent: Double): Double

    /** Records that [units] were lent. */
    fun lend(units: Double)

    /** Records that [units] were returned unused. */
    fun returnUnused(units: Double)

    /** Time until [units] are available if [lent] stays the same; infinite when they never will be. */
    fun timeUntil(units: Double, lent: Double): Duration
}

/**
 * Token bucket whose tokens are lent in slices.
 *
 * Tokens that are lent but unused count against the burst. Otherwise a borrower could use a whole burst late, together
 * with the tokens refilled meanwhile, and the sum would exceed `rate * t + burst`.
 *
 * @param startLevel tokens at [startedAt]; zero for an owner that doesn't know what its predecessor lent.
 */
class BucketSupply(
    rate: AccountRate,
    startedAt: Duration,
    startLevel: Double,
) : SliceSupply {
    private var updatedAt = startedAt

    /** Rate and burst in force; a smaller burst reduces the level at the next [advance]. */
    var rate: AccountRate = rate

    /** Tokens that are not lent. */
    var level: Double = startLevel.coerceAtMost(rate.burst)
        private set

    override fun advance(now: Duration, lent: Double) {
        val elapsed = (now - updatedAt).toDouble(DurationUnit.SECONDS).coerceAtLeast(0.0)
        updatedAt = maxOf(updatedAt, now)
        level = minOf(level + elapsed * rate.ratePerSecond, rate.burst - lent).coerceAtLeast(0.0)
    }

    override fun available(lent: Double): Double = level

    override fun lend(units: Double) {
        level -= units
    }

    override fun returnUnused(units: Double) {
        level += units
    }

    override fun timeUntil(units: Double, lent: Double): Duration = when {
        level >= units -> Duration.ZERO
        units > rate.burst - lent || rate.ratePerSecond <= 0.0 -> Duration.INFINITE
        else -> ((units - level) / rate.ratePerSecond).seconds
    }
}

/** Slots of a window. [size] may change at any time; slots lent beyond a reduced size stay lent until returned. */
class WindowSupply(var size: Double) : SliceSupply {
    override fun advance(now: Duration, lent: Double) = Unit

    override fun available(lent: Double): Double = (size - lent).coerceAtLeast(0.0)

    override fun lend(units: Double) = Unit

    override fun returnUnused(units: Double) = Unit

    override fun timeUntil(units: Double, lent: Double): Duration =
        if (available(lent) >= units) Duration.ZERO else Duration.INFINITE
}
