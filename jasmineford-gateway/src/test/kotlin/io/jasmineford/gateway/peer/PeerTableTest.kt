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

    private fun heartbeat(name: String, sequence: Long, echo: Long = -1, incarnation: Long = 1) = Heartbeat(
        from = name,
        incarnation = incarnation,
        sequence = sequence,
        echo = echo,
        isReady = true,
        contactAgeMillis = 100,
        configVersion = 4,
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

    @Test
    fun `a heartbeat that echoes no known message confirms no store contact`() {
        table.replaceMembers(listOf(member("b")))
        table.applyHeartbeat(heartbeat("b", 0, echo = 77))
        assertNull(table.all.single().storeContact())
    }
}
