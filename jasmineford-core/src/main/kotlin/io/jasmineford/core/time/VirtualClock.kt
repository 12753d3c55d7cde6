package io.jasmineford.core.time

import kotlin.time.Duration

/** Clock that is advanced explicitly, for tests and simulations. */
class VirtualClock(private var reading: Duration = Duration.ZERO) : MonotonicClock {
    override fun now(): Duration = reading

    /** Advances the clock by [step]; throws [IllegalArgumentException] if it is negative. */
    fun advance(step: Duration) {
        require(!step.isNegative()) { "expected a step of at least 0 s, actual $step" }
        reading += step
    }
}
