package io.jasmineford.core.limit

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Exponentially weighted moving rate of events with the time constant [timeConstant]. */
class DemandEstimate(timeConstant: Duration) {
    private val seconds = timeConstant.toDouble(DurationUnit.SECONDS)
    private var weight = 0.0
    private var updatedAt = Duration.ZERO

    /** Records one event. */
    fun add(now: Duration) {
        decay(now)
        weight += 1.0
    }

    /** Estimated events per second. */
    fun perSecond(now: Duration): Double {
        decay(now)
        return weight / seconds
    }

    private fun decay(now: Duration) {
        val elapsed = (now - updatedAt).toDouble(DurationUnit.SECONDS)
        if (elapsed <= 0.0) return
        weight *= exp(-elapsed / seconds)
        updatedAt = now
    }
}
