package io.jasmineford.core.limit

import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Exponentially weighted rate of events. An event counts for about [memory]. */
class DemandEstimate(memory: Duration) {
    private val seconds = memory.toDouble(DurationUnit.SECONDS)
    private var weight = 0.0
    private var updatedAt = Duration.ZERO

    /** Counts one event. */
    fun add(now: Duration) {
        decay(now)
        weight += 1.0
    }

    /** Events a second. */
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
