package io.jasmineford.gateway.measure

import io.jasmineford.core.time.MonotonicClock
import kotlin.math.exp
import kotlin.time.Duration

/** Events a second, averaged over about the last [memory]. */
internal class DecayingRate(private val clock: MonotonicClock, private val memory: Duration) {
    private var count = 0.0
    private var updatedAt = clock.now()

    /** Events a second now. */
    val perSecond: Double
        get() {
            decay()
            return count / memory.seconds
        }

    /** Counts an event. */
    fun note() {
        decay()
        count += 1
    }

    private fun decay() {
        val now = clock.now()
        count *= exp(-((now - updatedAt) / memory))
        updatedAt = now
    }
}
