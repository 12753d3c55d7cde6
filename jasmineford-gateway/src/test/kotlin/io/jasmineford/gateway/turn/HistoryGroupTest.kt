package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class HistoryGroupTest {
    private fun member(name: String) =
        Member(name, 1, zone = name.take(1), region = "r", isEntry = false, ip = "127.0.0.1", peerPort = 1)

    private fun observation(
        self: String,
        vararg members: String,
        unresponsive: Set<String> = emptySet(),
        retiring: Set<String> = emptySet(),
        disks: Int = 1,
    ) = GroupObservation(
        self = member(self),
        members = members.map(::member),
        unresponsive = unresponsive,
        retiring = retiring,
        toleratedDiskLosses = disks,
        complete = members.toSet(),
        heard = members.toSet() - unresponsive,
    )

    private fun GroupObservation.incomplete(name: String) = copy(complete = complete - name)

    private val group = HistoryGroup(4, listOf("a1", "b1", "c1"))
    private val generation = mapOf("a1" to 0L, "b1" to 0L, "c1" to 0L)

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
        assertEquals(HistoryGroup(5, listOf("a2", "b1", "c1"), mapOf("a2" to 5L), listOf(generation)), next)
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
        assertEquals(HistoryGroup(5, listOf("b1", "c1"), earlier = listOf(generation)), next)
    }

    @Test
    fun `an unresponsive voter stays in the group while there is no spare member`() {
        assertNull(nextGroup(group, observation("b1", "a1", "b1", "c1", unresponsive = setOf("a1"))))
    }

    /** Guards against a group that tolerates no loss for ever after a retirement without a spare member. */
    @Test
    fun `a spare member joins a group that has lost a voter`() {
        val small = HistoryGroup(5, listOf("b1", "c1"))
        assertNull(nextGroup(small, observation("b1", "b1", "c1", "a2")))
        val next = nextGroup(small, observation("a2", "b1", "c1", "a2"))
        assertEquals(listOf("a2", "b1", "c1"), next?.voters)
        assertEquals(mapOf("a2" to 6L), next?.joinedAt)
        assertNull(nextGroup(group, observation("a2", "a1", "b1", "c1", "a2")))
    }

    /** Guards against a lost voter that is not replaced because the one that holds the entries is to be retired. */
    @Test
    fun `a lost voter is replaced before one that is being retired`() {
        val small = HistoryGroup(5, listOf("b1", "c1"))
        val lost = observation("b2", "b1", "b2", retiring = setOf("b1"))
        assertEquals(listOf("b1", "b2"), nextGroup(small, lost)?.voters)
    }

    @Test
    fun `in a group of two the remaining voter holds all entries`() {
        val small = HistoryGroup(5, listOf("b1", "c1"))
        val lost = observation("a2", "c1", "a2")
        assertEquals(listOf("a2", "c1"), nextGroup(small, lost)?.voters)
        assertNull(nextGroup(small, lost.incomplete("c1")))
    }

    /** Guards against a change that drops the only disk that holds acknowledged turns. */
    @Test
    fun `a voter that is not complete does not count as a copy when another one is replaced`() {
        val members = arrayOf("a1", "b1", "c1", "b2")
        val b1 = setOf("b1")
        assertNull(nextGroup(group, observation("b2", *members, unresponsive = b1).incomplete("a1")))
        assertNull(nextGroup(group, observation("b2", *members, retiring = b1).incomplete("a1")))
        assertNull(nextGroup(group, observation("b1", "a1", "b1", "c1", retiring = b1).incomplete("a1")))
    }

    @Test
    fun `a voter that has just fallen silent does not count as a copy`() {
        val members = arrayOf("a1", "b1", "c1", "b2")
        val observation = observation("b2", *members, unresponsive = setOf("b1"))
        assertNull(nextGroup(group, observation.copy(heard = observation.heard - "a1")))
    }

    @Test
    fun `earlier groups are kept until all voters were complete`() {
        val second = checkNotNull(nextGroup(group, observation("a2", "b1", "c1", "a2")))
        val third = nextGroup(second, observation("b2", "b1", "c1", "b2"))
        assertEquals(listOf(generation, mapOf("a2" to 5L, "b1" to 0L, "c1" to 0L)), third?.earlier)
        val settled = nextGroup(second, observation("b2", "b1", "c1", "b2", "a2", unresponsive = setOf("a2")))
        assertEquals(listOf(mapOf("a2" to 5L, "b1" to 0L, "c1" to 0L)), settled?.earlier)
    }

    @Test
    fun `a voter that joined is complete with the copies of a majority of the voters before`() {
        val next = HistoryGroup(5, listOf("a2", "b1", "c1"), mapOf("a2" to 5L), listOf(generation))
        val own = HistoryStatus(0, isComplete = false).inGroup(GroupStamp(4, null)).inGroup(GroupStamp(5, 5))
        val complete = HistoryStatus(5, isComplete = true)
        val left = HistoryStatus(4, isComplete = true).inGroup(GroupStamp(5, null))
        val wiped = HistoryStatus(0, isComplete = false).inGroup(GroupStamp(5, 0))
        assertFalse(next.isCopyComplete("a2", own, mapOf("b1" to complete)))
        assertFalse(next.isCopyComplete("a2", own, mapOf("b1" to wiped, "c1" to complete)))
        assertTrue(next.isCopyComplete("a2", own, mapOf("b1" to complete, "c1" to complete)))
        assertTrue(next.isCopyComplete("a2", own, mapOf("a1" to left, "b1" to wiped, "c1" to complete)))
    }

    @Test
    fun `a voter that lost its disk needs the entries of all majorities without it`() {
        val wiped = HistoryStatus(0, isComplete = false).inGroup(GroupStamp(4, 0))
        val complete = HistoryStatus(4, isComplete = true)
        assertFalse(group.isCopyComplete("a1", wiped, mapOf("b1" to complete)))
        assertTrue(group.isCopyComplete("a1", wiped, mapOf("b1" to complete, "c1" to complete)))
    }

    @Test
    fun `a daemon that joins again is not complete even if it never noticed that it had left`() {
        val status = HistoryStatus(4, isComplete = true)
        assertTrue(status.inGroup(GroupStamp(6, joinedAt = 0)).isComplete)
        assertFalse(status.inGroup(GroupStamp(6, joinedAt = 6)).isComplete)
    }
}
