package io.jasmineford.gateway.turn

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.encodeToByteArray
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits of a replica: memory, disk, size of replies, time for which entries are kept. */
class HistoryLimitsTest {
    private val control = ArrayBlockingQueue<() -> Unit>(1000)
    private val folder = SimulatedLogFolder(Random(1))
    private var now = Duration.ZERO

    private fun replica(budget: HistoryBudget = HistoryBudget(), isFirstStart: Boolean = true) =
        HistoryReplica(HistoryLog(folder), noOpLog, MonotonicClock { now }, budget) { control.add(it) }
            .also { it.start(isFirstStart) }

    private fun HistoryReplica.ask(request: HistoryRequest): HistoryReply {
        var reply: HistoryReply? = null
        handle(GroupStamp(1), request) { reply = it }
        while (reply == null) checkNotNull(control.poll(10, TimeUnit.SECONDS)) { "no reply" }()
        return checkNotNull(reply)
    }

    private fun reserve(attempt: String) =
        HistoryRequest.Reserve(TokenEntry(ProgramKey("club", "p"), attempt, tokens = 10, isSettled = false))

    private fun finish(id: String, previous: String? = null, bytes: Int = 1000) =
        HistoryRequest.Finish(null, TurnRecord(id, "club", previous, ByteArray(bytes), ByteArray(1)))

    private fun HistoryReplica.turns(id: String) =
        assertIs<HistoryReply.Turns>(ask(HistoryRequest.Chain(id, "club"))).turns.map { it.id }

    private fun size(reply: HistoryReply) = peerCbor.encodeToByteArray(ReplyFrame(1, reply)).size

    @Test
    fun `a nearly full replica refuses new turns, and stores those that run until it is full`() {
        val replica = replica(HistoryBudget(diskBytes = 100_000))
        val acknowledged = ArrayList<String>()
        var refusedAt = -1.0
        var id = 0
        while (replica.ask(finish("t$id")) == HistoryReply.Finished && id < 1000) {
            acknowledged += "t${id++}"
            if (refusedAt < 0 && replica.ask(reserve("r$id")) == HistoryReply.Incomplete) refusedAt = replica.usedShare
        }
        assertTrue(refusedAt in 0.85..0.9, "reservations are refused from $refusedAt on")
        assertTrue(replica.usedShare in 1.0..1.05, "turns are refused from ${replica.usedShare} on")
        acknowledged.forEach { assertEquals(listOf(it), replica.turns(it)) }
        assertEquals(emptyList(), replica.turns("t$id"))
    }

    @Test
    fun `a replica whose index takes the memory refuses turns`() {
        val replica = replica(HistoryBudget(heapBytes = 30_000))
        val stored = (1..100).count { replica.ask(finish("t$it", bytes = 10)) == HistoryReply.Finished }
        assertTrue(stored in 40..60, "$stored turns are stored")
    }

    @Test
    fun `turns are taken again once old ones are dropped`() {
        val replica = replica(HistoryBudget(heapBytes = 30_000))
        replica.keeper.keepFor(60.seconds)
        (1..100).forEach { replica.ask(finish("t$it", bytes = 10)) }
        assertEquals(HistoryReply.Incomplete, replica.ask(finish("late", bytes = 10)))
        now += 61.seconds
        replica.keeper.drop(replica.keeper.expired(), ExpiredEntries())
        assertEquals(0, replica.size)
        assertEquals(HistoryReply.Finished, replica.ask(finish("late", bytes = 10)))
    }

    @Test
    fun `ages count anew after a restart, and the time of the configuration before holds`() {
        val first = replica()
        first.keeper.keepFor(60.seconds)
        first.ask(finish("t1"))
        now += 61.seconds
        val second = replica(isFirstStart = false)
        second.keeper.keepFor(10.seconds)
        assertEquals(60.seconds, second.keeper.keptFor)
        assertTrue(second.keeper.expired().isEmpty)
        now += 61.seconds
        assertEquals(listOf("t1"), second.keeper.expired().turns)
    }

    @Test
    fun `a turn that can't be written is not acknowledged, and the replica goes on`() {
        val replica = replica()
        assertEquals(HistoryReply.Finished, replica.ask(finish("t1")))
        folder.capacity = folder.size + 500L
        assertEquals(HistoryReply.Incomplete, replica.ask(finish("t2")))
        folder.capacity = Long.MAX_VALUE
        assertEquals(HistoryReply.Finished, replica.ask(finish("t2")))
        assertEquals(HistoryReply.Finished, replica.ask(finish("t3", previous = "t2")))
        val restarted = HistoryState()
        HistoryLog(folder.losePower()).replay { restarted.apply(it) }
        assertEquals(listOf("t2", "t3"), restarted.chain("t3", "club").turns.map { it.id })
        assertEquals(listOf("t1"), restarted.chain("t1", "club").turns.map { it.id })
    }

    /** Chains and copies exceeded the largest frame between daemons, 32 MB, and were never delivered. */
    @Test
    fun `a chain that is larger than a frame is read in pieces`() {
        val replica = replica(HistoryBudget(cacheBytes = 1_000_000))
        val ids = (1..45).map { "t$it" }
        ids.forEachIndexed { index, id -> replica.ask(finish(id, ids.getOrNull(index - 1), bytes = 1_000_000)) }
        var largest = 0
        val quorum = HistoryQuorum(
            view = { GroupView(1, majority = 1, listOf(Member("a", 1, "z", "r", false, "127.0.0.1", 1))) },
            channel = { _, _, request, onReply ->
                val reply = replica.ask(request)
                largest = maxOf(largest, size(reply))
                onReply(reply)
            },
            wallMillis = { 0 },
        )
        val lookups = ArrayList<ChainLookup>()
        quorum.chain("t45", "club", lookups::add)
        assertEquals(ids, assertIs<ChainLookup.Found>(lookups.single()).turns.map { it.id })
        assertTrue(largest < MAX_REPLY_BYTES, "a reply has $largest bytes")
    }

    @Test
    fun `turns that are together larger than a frame are copied in pieces`() {
        val replica = replica(HistoryBudget(cacheBytes = 1_000_000))
        repeat(45) { replica.ask(finish("t$it", bytes = 1_000_000)) }
        val copied = ArrayList<String?>()
        var from = 0
        var isEnd = false
        while (!isEnd) {
            val reply = assertIs<HistoryReply.Copied>(replica.ask(HistoryRequest.Copy(from, "reader")))
            assertTrue(size(reply) < MAX_REPLY_BYTES, "a reply has ${size(reply)} bytes")
            copied += reply.entries.map { it.turn?.id }
            from = reply.next
            isEnd = reply.isEnd
        }
        assertEquals<List<String?>>((0 until 45).map { "t$it" }, copied)
        assertEquals(replica.end, from)
    }

    @Test
    fun `a copy goes on at its position while entries before it are dropped`() {
        val replica = replica()
        repeat(100) { replica.ask(finish("t$it")) }
        val first = assertIs<HistoryReply.Copied>(replica.ask(HistoryRequest.Copy(0, "reader")))
        replica.keeper.keepFor(60.seconds)
        now += 61.seconds
        replica.ask(finish("new"))
        replica.keeper.drop(ExpiredEntries((0 until 90).map { "t$it" }), ExpiredEntries())
        val second = assertIs<HistoryReply.Copied>(replica.ask(HistoryRequest.Copy(first.next, "reader")))
        assertEquals<List<String?>>((90 until 100).map { "t$it" } + "new", second.entries.map { it.turn?.id })
        assertTrue(second.isEnd)
    }

    /** Without it, no group was ever formed if all daemons restarted before the first one was. */
    @Test
    fun `a daemon of the first start proposes the first group also after a restart, and an emptied one never`() {
        val names = listOf("a", "b", "c")
        val members = names.map { Member(it, 1, "zone-$it", "r", isEntry = false, ip = "127.0.0.1", peerPort = 1) }
        fun observation(complete: Set<String>) =
            GroupObservation(members[0], members, emptySet(), emptySet(), 1, complete, names.toSet())
        val all = observation(names.toSet())
        val first = replica()
        while (!first.isStatusSynced) control.take()()
        assertEquals(names, proposedFirstGroup(first.status, all)?.voters)
        val restarted = replica(isFirstStart = false)
        assertEquals(names, proposedFirstGroup(restarted.status, all)?.voters)
        assertEquals(null, proposedFirstGroup(restarted.status, observation(setOf("a"))))
        assertEquals(null, proposedFirstGroup(HistoryStatus(0, isComplete = false), all))
        restarted.updateStatus(restarted.status.inGroup(GroupStamp(1)))
        assertEquals(null, proposedFirstGroup(restarted.status, all))
        assertFalse(restarted.status.isOfFirstStart)
    }

    private companion object {
        const val MAX_REPLY_BYTES = 4 * 1024 * 1024
    }
}
