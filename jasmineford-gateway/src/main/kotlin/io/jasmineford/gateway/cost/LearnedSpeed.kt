package io.jasmineford.gateway.cost

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.measure.DecayingAverage
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.sign
import kotlin.math.sqrt
import kotlin.time.Duration.Companion.seconds

/**
 * Speed of an endpoint relative to its service's mean, learned from actual over expected times of calls.
 *
 * The part of a deviation that is within the standard error is left out: service times may vary by themselves, and an
 * endpoint must not be preferred by chance.
 */
internal class LearnedSpeed(clock: MonotonicClock) {
    private val logTime = DecayingAverage(clock, baseline = 0.0, WEIGHT, DECAY_TIME)
    private var variance = INITIAL_VARIANCE

    /** Number of calls from which the speed is learned. */
    var calls = 0
        private set

    /** Work in milliseconds on the reference endpoint that the endpoint does in a millisecond. */
    val value: Double
        get() {
            val mean = logTime.value
            val error = sqrt(variance * WEIGHT / (2 - WEIGHT))
            return exp(-sign(mean) * (abs(mean) - error).coerceAtLeast(0.0))
        }

    /** Records a call whose time was the service's mean by a factor of e to the power of [logRatio]. */
    fun record(logRatio: Double) {
        val sample = logRatio.coerceIn(-MAX_LOG_RATIO, MAX_LOG_RATIO)
        val deviation = sample - logTime.value
        variance += (deviation * deviation - variance) * WEIGHT
        logTime.add(sample)
        calls++
    }

    private companion object {
        /** Weight of the newest sample: about twenty calls determine the speed. */
        const val WEIGHT = 0.1

        /** Time constant of the decay without calls: an endpoint that gets none because it was slow is tried again. */
        val DECAY_TIME = 60.seconds

        /** Variance of the logarithms, a factor of 1.6, that is assumed before the first calls. */
        const val INITIAL_VARIANCE = 0.25

        /** Limits the influence of one call. */
        const val MAX_LOG_RATIO = 2.0
    }
}
