package io.jasmineford.gateway.measure

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class DecayingLevelTest {
    private val clock = VirtualClock()

    @Test
    fun `samples move the level and silence takes it back`() {
        val level = DecayingLevel(clock, rest = 1.0, weight = 0.5, memory = 2.seconds)
        level.note(3.0)
        assertEquals(2.0, level.value)
        clock.advance(10.seconds)
        assertTrue(level.value < 1.01, "actual ${level.value}")
    }
}
