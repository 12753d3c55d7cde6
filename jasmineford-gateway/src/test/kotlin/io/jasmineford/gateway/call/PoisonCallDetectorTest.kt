package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.minutes

class PoisonCallDetectorTest {
    private val clock = VirtualClock()
    private val detector = PoisonCallDetector(clock)

    @Test
    fun `three crashes in a row block a call and a response unblocks it`() {
        repeat(3) { detector.recordCrash("call") }
        assertTrue(detector.isBlocked("call"))
        detector.recordResponse("call")
        assertFalse(detector.isBlocked("call"))
    }

    @Test
    fun `the counts of a peer are merged and expire`() {
        detector.mergeCounts(mapOf("call" to 3))
        assertTrue(detector.isBlocked("call"))
        clock.advance(2.minutes)
        detector.recordCrash("other")
        assertFalse(detector.isBlocked("call"))
    }
}
