package io.jasmineford.core.limit

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** The quantity behind a [SliceLender]. Each function is called with the units that are lent out at that time. */
interface SliceSupply {
    /** Brings the quantity up to [now]; [lent] was lent out since the last call. */
    fun advance(now: Duration, lent: Double)

    /** Units that can be lent. */
    fun available(lent: Double): Double

    /** [units] are lent. */
    fun take(units: Double)

    /** [units] came back unused. */
    fun putBack(units: Double)

    /** Time until [units] are available if [lent] stays; infinite when that never happens. */
    fun timeUntil(units: Double, lent: Double): Duration
}

/**
 * Tokens of a rate and burst that is shared by lending.
 *
 * Tokens that are lent but unused count against the burst. Otherwise a borrower could use a whole burst late, together
 * with the tokens that were refilled meanwhile, and the sum would exceed `rate * t + burst`.
 *
 * @param startLevel tokens at [startedAt]; zero for an owner that doesn't know what the owner before it gave out.
 */
class BucketSupply(
    rate: AccountRate,
    startedAt: Duration,
    startLevel: Double,
) : SliceSupply {
    private var updatedAt = startedAt

    /** Rate and burst in force; a smaller burst cuts the level at the next [advance]. */
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

    override fun take(units: Double) {
        level -= units
    }

    override fun putBack(units: Double) {
        level += units
    }

    override fun timeUntil(units: Double, lent: Double): Duration = when {
        level >= units -> Duration.ZERO
        units > rate.burst - lent || rate.ratePerSecond <= 0.0 -> Duration.INFINITE
        else -> ((units - level) / rate.ratePerSecond).seconds
    }
}

/** Slots of a window. [size] may change at any time; slots that are lent beyond a smaller size come back by return. */
class WindowSupply(var size: Double) : SliceSupply {
    override fun advance(now: Duration, lent: Double) = Unit

    override fun available(lent: Double): Double = (size - lent).coerceAtLeast(0.0)

    override fun take(units: Double) = Unit

    override fun putBack(units: Double) = Unit

    override fun timeUntil(units: Double, lent: Double): Duration =
        if (available(lent) >= units) Duration.ZERO else Duration.INFINITE
}
