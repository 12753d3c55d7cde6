package io.jasmineford.gateway.load

import io.jasmineford.core.limit.DemandEstimate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Demand of one account at an overloaded daemon and the rates at which its calls are taken. */
internal class AccountLoad(now: Duration) {
    private val arrivals = ShedClass.entries.map { DemandEstimate(AVERAGING_TIME) }
    private val buckets = ShedClass.entries.map { Bucket(now) }

    /** Calls per second of [shedClass] that arrive. */
    fun demand(shedClass: ShedClass, now: Duration): Double = arrivals[shedClass.ordinal].perSecond(now)

    /** Takes calls of [shedClass] at [perSecond] from [now] on; infinity takes all. */
    fun grant(shedClass: ShedClass, perSecond: Double, now: Duration) = buckets[shedClass.ordinal].set(perSecond, now)

    /** Counts a call of [shedClass] that arrives at [now]; returns whether it is taken. */
    fun tryTake(shedClass: ShedClass, now: Duration): Boolean {
        arrivals[shedClass.ordinal].add(now)
        return buckets[shedClass.ordinal].tryTake(now)
    }

    private class Bucket(private var updatedAt: Duration) {
        private var perSecond = Double.POSITIVE_INFINITY
        private var level = 0.0

        fun set(rate: Double, now: Duration) {
            refill(now)
            if (!perSecond.isFinite() || rate <= 0) level = 0.0
            perSecond = rate
        }

        fun tryTake(now: Duration): Boolean {
            refill(now)
            val fits = !perSecond.isFinite() || level >= 1
            if (fits && perSecond.isFinite()) level -= 1
            return fits
        }

        private fun refill(now: Duration) {
            val seconds = (now - updatedAt).toDouble(DurationUnit.SECONDS)
            updatedAt = now
            if (!perSecond.isFinite()) return
            val most = (perSecond * BURST_TIME.toDouble(DurationUnit.SECONDS)).coerceAtLeast(1.0)
            level = (level + seconds * perSecond).coerceAtMost(most)
        }
    }

    private companion object {
        /** Time constant of the demand: several iterations of a late loop, and a quarter of the time to recover. */
        val AVERAGING_TIME = 500.milliseconds

        /** A late loop reads calls in batches, so as much as arrives in a long iteration may be taken at once. */
        val BURST_TIME = 300.milliseconds
    }
}
