package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class PoisonCallDetectorTest {
    private val clock = VirtualClock()
    private val detector = PoisonCallDetector(clock)
    private val peer = PoisonCallDetector(clock)

    /** What [from] reports reaches [to] after [delay]. */
    private fun exchange(from: PoisonCallDetector, to: PoisonCallDetector, delay: Duration = 200.milliseconds) {
        val reports = from.reports()
        val counts = from.counts()
        clock.advance(delay)
        to.merge(reports, counts)
    }

    @Test
    fun `three crashes in a row block a call and a response unblocks it`() {
        repeat(3) {
            assertFalse(detector.isBlocked("call"))
            detector.recordCrash("call", "e$it")
        }
        assertTrue(detector.isBlocked("call"))
        detector.recordResponse("call")
        assertFalse(detector.isBlocked("call"))
    }

    @Test
    fun `calls with the same content that one crash breaks count once`() {
        repeat(8) {
            detector.recordCrash("call", "e1")
            clock.advance(10.milliseconds)
        }
        assertFalse(detector.isBlocked("call"))
        repeat(2) { crash ->
            repeat(8) { detector.recordCrash("call", "e${crash + 2}") }
        }
        assertTrue(detector.isBlocked("call"))
    }

    @Test
    fun `crashes of one endpoint some seconds apart count each`() {
        repeat(3) {
            detector.recordCrash("call", "e1")
            clock.advance(4.seconds)
        }
        assertTrue(detector.isBlocked("call"))
    }

    @Test
    fun `one crash that three daemons see counts once`() {
        val third = PoisonCallDetector(clock)
        detector.recordCrash("call", "e1")
        exchange(detector, peer)
        peer.recordCrash("call", "e1")
        exchange(peer, third)
        third.recordCrash("call", "e1")
        exchange(third, detector)
        listOf(detector, peer, third).forEach { assertFalse(it.isBlocked("call")) }
    }

    @Test
    fun `a crash that a peer saw too counts once`() {
        detector.recordCrash("call", "e1")
        exchange(detector, peer)
        peer.recordCrash("call", "e1")
        detector.recordCrash("call", "e2")
        repeat(5) {
            exchange(detector, peer)
            exchange(peer, detector)
        }
        assertFalse(detector.isBlocked("call"))
        assertFalse(peer.isBlocked("call"))
        peer.recordCrash("call", "e3")
        assertTrue(peer.isBlocked("call"))
        exchange(peer, detector)
        assertTrue(detector.isBlocked("call"))
    }

    @Test
    fun `crashes at different daemons add up`() {
        val third = PoisonCallDetector(clock)
        detector.recordCrash("call", "e1")
        peer.recordCrash("call", "e2")
        third.recordCrash("call", "e3")
        exchange(detector, peer)
        exchange(third, peer)
        assertTrue(peer.isBlocked("call"))
    }

    @Test
    fun `a call beside one that has crashed endpoints before is not blamed`() {
        repeat(3) {
            clock.advance(5.seconds)
            detector.recordCrash("poison", "e$it")
            detector.recordCrash("neighbour-$it", "e$it")
            if (it > 0) detector.recordCrash("neighbour", "e$it")
        }
        assertTrue(detector.isBlocked("poison"))
        clock.advance(5.seconds)
        detector.recordCrash("neighbour", "e9")
        assertFalse(detector.isBlocked("neighbour"))
    }

    @Test
    fun `a response after a crash clears the call although peers still report the crash`() {
        repeat(2) { detector.recordCrash("call", "e$it") }
        exchange(detector, peer)
        clock.advance(1.seconds)
        peer.recordResponse("call")
        exchange(detector, peer)
        peer.recordCrash("call", "e3")
        assertFalse(peer.isBlocked("call"))
    }

    /** Guards against a call that is refused for a minute because its responses at other daemons are not known. */
    @Test
    fun `responses at a peer clear the crashes at this daemon`() {
        repeat(3) { crash ->
            detector.recordCrash("call", "e$crash")
            clock.advance(1.seconds)
            peer.recordResponse("call")
            exchange(detector, peer)
            clock.advance(1.seconds)
            detector.merge(peer.reports(), peer.counts(), peer.responses)
        }
        assertFalse(detector.isBlocked("call"))
        assertTrue(detector.reports().isEmpty())
    }

    @Test
    fun `a crash that a peer reports after a response to the call does not count`() {
        detector.recordCrash("call", "e1")
        val reports = detector.reports()
        clock.advance(1.seconds)
        peer.recordResponse("call")
        peer.merge(reports.map { it.copy(ageMillis = 1_000) }, emptyMap())
        assertTrue(peer.reports().isEmpty())
    }

    @Test
    fun `reported crashes are merged and expire although the peers repeat them`() {
        repeat(3) { detector.recordCrash("call", "e$it") }
        exchange(detector, peer)
        assertTrue(peer.isBlocked("call"))
        repeat(120) {
            clock.advance(1.seconds)
            exchange(detector, peer)
            exchange(peer, detector)
        }
        assertFalse(detector.isBlocked("call"))
        assertFalse(peer.isBlocked("call"))
        assertTrue(detector.reports().isEmpty())
    }

    @Test
    fun `the counts of a peer of the release before are merged and expire`() {
        detector.merge(emptyList(), mapOf("call" to 3))
        assertTrue(detector.isBlocked("call"))
        clock.advance(2.minutes)
        detector.recordCrash("other", "e1")
        assertFalse(detector.isBlocked("call"))
    }

    @Test
    fun `a peer of the release before gets the number of crashes`() {
        repeat(3) { crash -> repeat(4) { detector.recordCrash("call", "e$crash") } }
        assertEquals(mapOf("call" to 3), detector.counts())
    }
}
