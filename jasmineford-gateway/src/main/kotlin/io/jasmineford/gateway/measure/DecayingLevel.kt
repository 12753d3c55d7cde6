package io.jasmineford.gateway.measure

import io.jasmineford.core.time.MonotonicClock
import kotlin.math.exp
import kotlin.time.Duration

/**
 * Smoothed samples that return to [rest] in about [memory] when no more come, so that a bad opinion does not outlast
 * its cause.
 *
 * @param weight part of the newest sample.
 */
internal class DecayingLevel(
    private val clock: MonotonicClock,
    private val rest: Double,
    private val weight: Double,
    private val memory: Duration,
) {
    private var level = rest
    private var updatedAt = clock.now()

    /** The level now. */
    val value: Double get() = rest + (level - rest) * exp(-((clock.now() - updatedAt) / memory))

    /** Takes [sample] into the level. */
    fun note(sample: Double) {
        val current = value
        level = current + (sample - current) * weight
        updatedAt = clock.now()
    }
}
