package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class HistoryRetentionTest {
    private var now = Duration.ZERO
    private val retention = HistoryRetention { now }

    @Test
    fun `nothing is dropped before an age is known`() = assertNull(retention.age)

    @Test
    fun `a longer age applies at once, and a shorter one once the longer one has passed`() {
        assertTrue(retention.update(20.seconds))
        assertTrue(retention.update(60.seconds))
        retention.update(20.seconds)
        assertEquals(60.seconds, retention.age)
        now += 60.seconds
        retention.update(20.seconds)
        assertEquals(60.seconds, retention.age)
        now += 1.seconds
        assertTrue(retention.update(20.seconds))
        assertEquals(20.seconds, retention.age)
    }

    @Test
    fun `a shorter age after a restart waits for the one before`() {
        retention.restore(60_000)
        retention.update(20.seconds)
        assertEquals(60.seconds, retention.age)
        now += 61.seconds
        retention.update(20.seconds)
        assertEquals(20.seconds, retention.age)
    }

    @Test
    fun `a shorter age that was taken back counts anew`() {
        retention.update(60.seconds)
        retention.update(20.seconds)
        now += 59.seconds
        retention.update(60.seconds)
        retention.update(20.seconds)
        now += 2.seconds
        retention.update(20.seconds)
        assertEquals(60.seconds, retention.age)
    }

    /** Release before: its copies and replies have no further fields. */
    @Test
    fun `a daemon of the release before takes the question for a copy behind all entries`() {
        val asked = HistoryRequest.asksForNeeded(ExpiredEntries(listOf("t1"), listOf(ProgramKey("club", "p"))))
        val decoded = peerCbor.decodeFromByteArray<RequestFrame>(
            peerCbor.encodeToByteArray(RequestFrame(1, 7, asked)),
        )
        assertEquals(asked, decoded.request)
        assertEquals("", asked.reader)
        assertTrue(asked.from + 64 > asked.from)
        assertTrue(HistoryState().copyFrom(asked.from, count = 64, maxBytes = 1).entries.isEmpty())
    }
}
