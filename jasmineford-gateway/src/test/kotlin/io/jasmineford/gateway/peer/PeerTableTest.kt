package io.jasmineford.gateway.peer

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerTableTest {
    private val clock = VirtualClock()
    private val table = PeerTable(member("self"), clock)

    private fun member(name: String, incarnation: Long = 1) =
        Member(name, incarnation, "z", "r", isEntry = true, ip = "127.0.0.1", peerPort = 1, callers = "$name:80")

    private fun heartbeat(
        name: String,
        sequence: Long,
        echo: Long = -1,
        incarnation: Long = 1,
        to: Long = -1,
    ) = Heartbeat(
        from = name,
        incarnation = incarnation,
        sequence = sequence,
        echo = echo,
        isReady = true,
        contactAgeMillis = 100,
        configVersion = 4,
        to = to,
    )

    @Test
    fun `callers are sent only to ready daemons with a recent heartbeat`() {
        table.replaceMembers(listOf(member("self"), member("b"), member("c")))
        table.applyHeartbeat(heartbeat("b", 0))
        assertEquals(listOf("b"), table.servingEntries().map { it.name })
        clock.advance(2.seconds)
        assertEquals(emptyList(), table.servingEntries())
        assertEquals(2, table.unresponsiveEntryCount())
        assertEquals(3, table.entryCount())
    }

    @Test
    fun `a daemon without heartbeats for longer than its contact lasts is not counted`() {
        table.replaceMembers(listOf(member("b")))
        clock.advance(13.seconds)
        assertEquals(1, table.entryCount())
        assertEquals(0, table.unresponsiveEntryCount())
    }

    @Test
    fun `heartbeats of another incarnation and duplicates are ignored`() {
        table.replaceMembers(listOf(member("b", incarnation = 2)))
        assertNull(table.applyHeartbeat(heartbeat("b", 5, incarnation = 1)))
        assertNotNull(table.applyHeartbeat(heartbeat("b", 5, incarnation = 2)))
        assertNull(table.applyHeartbeat(heartbeat("b", 5, incarnation = 2)))
    }

    @Test
    fun `the store contact of a peer is dated from the message that it echoes`() {
        table.replaceMembers(listOf(member("b")))
        val peer = table.all.single()
        clock.advance(1.seconds)
        val sequence = peer.nextSequence(clock.now())
        clock.advance(5.seconds)
        table.applyHeartbeat(heartbeat("b", 0, echo = sequence))
        assertEquals(PeerStoreContact(confirmedAt = 900.milliseconds, configVersion = 4), peer.storeContact())
    }

    /** Guards against a restarted daemon that ignores a peer until its new numbers pass the old ones. */
    @Test
    fun `heartbeats for the former process do not hide those for this one`() {
        val restarted = PeerTable(member("self", incarnation = 2), clock)
        restarted.replaceMembers(listOf(member("b")))
        val peer = assertNotNull(restarted.applyHeartbeat(heartbeat("b", 5000, echo = 40, to = 1)))
        assertEquals(listOf("b"), restarted.servingEntries().map { it.name })
        assertNull(restarted.applyHeartbeat(heartbeat("b", 5000, to = 1)))
        clock.advance(2.seconds)
        assertNotNull(restarted.applyHeartbeat(heartbeat("b", 0, to = 2)))
        assertEquals(listOf("b"), restarted.servingEntries().map { it.name })
        assertEquals(0, peer.highestReceived)
        assertNull(restarted.applyHeartbeat(heartbeat("b", 5001, to = 1)))
    }

    @Test
    fun `an echo for the former process does not date a message of this one`() {
        val restarted = PeerTable(member("self", incarnation = 2), clock)
        restarted.replaceMembers(listOf(member("b")))
        val peer = restarted.all.single()
        val sent = restarted.all.single().addressed(heartbeat("self", 0), clock.now())
        restarted.applyHeartbeat(heartbeat("b", 5000, echo = sent.sequence, to = 1))
        assertNull(peer.storeContact())
        assertEquals(-1, peer.addressed(heartbeat("self", 0), clock.now()).echo)
    }

    @Test
    fun `heartbeats of older releases name no receiver and are applied`() {
        table.replaceMembers(listOf(member("b")))
        assertNotNull(table.applyHeartbeat(heartbeat("b", 3)))
        assertNotNull(table.applyHeartbeat(heartbeat("b", 4, to = 1)))
    }

    @Test
    fun `a heartbeat that echoes no known message confirms no store contact`() {
        table.replaceMembers(listOf(member("b")))
        table.applyHeartbeat(heartbeat("b", 0, echo = 77))
        assertNull(table.all.single().storeContact())
    }
}
