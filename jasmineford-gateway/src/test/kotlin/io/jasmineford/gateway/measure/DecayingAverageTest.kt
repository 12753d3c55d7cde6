package io.jasmineford.gateway.measure

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DecayingAverageTest {
    private val clock = VirtualClock()

    @Test
    fun `samples change the average and it decays without them`() {
        val average = DecayingAverage(clock, baseline = 1.0, weight = 0.5, decayTime = 2.seconds)
        average.add(3.0)
        assertEquals(2.0, average.value)
        clock.advance(10.seconds)
        assertTrue(average.value < 1.01, "actual ${average.value}")
    }
}
