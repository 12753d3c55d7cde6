package io.jasmineford.core.limit

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DemandEstimateTest {
    private val clock = VirtualClock()

    @Test
    fun `the estimate follows the event rate and decays without events`() {
        val rate = DemandEstimate(timeConstant = 1.seconds)
        repeat(100) {
            clock.advance(0.1.seconds)
            rate.add(clock.now())
        }
        assertEquals(10.0, rate.perSecond(clock.now()), absoluteTolerance = 1.0)
        clock.advance(5.seconds)
        assertTrue(rate.perSecond(clock.now()) < 0.1, "actual ${rate.perSecond(clock.now())}")
    }
}
