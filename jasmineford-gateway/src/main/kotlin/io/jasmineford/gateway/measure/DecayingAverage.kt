package io.jasmineford.gateway.measure

import io.jasmineford.core.time.MonotonicClock
import kotlin.math.exp
import kotlin.time.Duration

/**
 * Exponentially weighted moving average that decays to [baseline] without samples, so that bad samples don't outlast
 * their cause.
 *
 * @param baseline value without samples.
 * @param weight weight of the newest sample, 0 to 1.
 * @param decayTime time constant of the decay.
 */
internal class DecayingAverage(
    private val clock: MonotonicClock,
    private val baseline: Double,
    private val weight: Double,
    private val decayTime: Duration,
) {
    private var average = baseline
    private var updatedAt = clock.now()

    /** The average at present. */
    val value: Double get() = baseline + (average - baseline) * exp(-((clock.now() - updatedAt) / decayTime))

    /** Adds [sample] to the average. */
    fun add(sample: Double) {
        val current = value
        average = current + (sample - current) * weight
        updatedAt = clock.now()
    }
}
