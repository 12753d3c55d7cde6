package io.jasmineford.core.time

import kotlin.time.Duration

/** Clock that a test or the bench advances. */
class VirtualClock(private var reading: Duration = Duration.ZERO) : MonotonicClock {
    override fun now(): Duration = reading

    /** Moves the clock forward by [step], which must not be negative. */
    fun advance(step: Duration) {
        require(!step.isNegative()) { "expected a step of at least 0 s, actual $step" }
        reading += step
    }
}
