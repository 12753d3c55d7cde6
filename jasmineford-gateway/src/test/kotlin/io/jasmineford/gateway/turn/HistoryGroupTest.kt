package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class HistoryGroupTest {
    private fun member(name: String) =
        Member(name, 1, zone = name.take(1), region = "r", isEntry = false, ip = "127.0.0.1", peerPort = 1)

    private fun observation(
        self: String,
        vararg members: String,
        unresponsive: Set<String> = emptySet(),
        retiring: Set<String> = emptySet(),
        disks: Int = 1,
    ) = GroupObservation(member(self), members.map(::member), unresponsive, retiring, disks)

    private val group = HistoryGroup(4, listOf("a1", "b1", "c1"))

    @Test
    fun `the initial group is picked round-robin over the zones`() {
        val members = arrayOf("a1", "a2", "b1", "b2", "c1")
        assertEquals(HistoryGroup(1, listOf("a1", "b1", "c1")), firstGroup(observation("a1", *members)))
        assertEquals(
            HistoryGroup(1, listOf("a1", "a2", "b1", "b2", "c1")),
            firstGroup(observation("a1", *members, disks = 2))
        )
    }

    @Test
    fun `there is no initial group before enough members are registered`() {
        assertNull(firstGroup(observation("a1", "a1", "b1")))
    }

    @Test
    fun `a group whose voters are all responsive does not change`() {
        assertNull(nextGroup(group, observation("a1", "a1", "b1", "c1")))
        assertNull(nextGroup(group, observation("a2", "a1", "b1", "c1", "a2")))
    }

    @Test
    fun `a spare member replaces an unresponsive voter`() {
        val next = nextGroup(group, observation("a2", "a1", "b1", "c1", "a2", unresponsive = setOf("a1")))
        assertEquals(HistoryGroup(5, listOf("a2", "b1", "c1")), next)
    }

    @Test
    fun `a spare member that does not reach a majority of the other voters proposes nothing`() {
        assertNull(nextGroup(group, observation("a2", "a1", "b1", "c1", "a2", unresponsive = setOf("a1", "b1"))))
    }

    @Test
    fun `a retiring voter is replaced by a spare member`() {
        val members = arrayOf("a1", "b1", "c1", "a2")
        assertNull(nextGroup(group, observation("a1", *members, retiring = setOf("a1"))))
        val next = nextGroup(group, observation("a2", *members, retiring = setOf("a1")))
        assertEquals(listOf("a2", "b1", "c1"), next?.voters)
    }

    @Test
    fun `a retiring voter without a replacement leaves the group`() {
        val next = nextGroup(group, observation("a1", "a1", "b1", "c1", retiring = setOf("a1")))
        assertEquals(HistoryGroup(5, listOf("b1", "c1")), next)
    }

    @Test
    fun `an unresponsive voter stays in the group while there is no spare member`() {
        assertNull(nextGroup(group, observation("b1", "a1", "b1", "c1", unresponsive = setOf("a1"))))
    }
}
