package io.jasmineford.gateway.call

import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.store.Scheduler
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.TokenReserver
import io.jasmineford.gateway.turn.TurnRecord
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class TurnCoordinatorTest {
    private val stored = HashMap<String, TurnRecord>()
    private var chainReads = 0
    private val quorum = HistoryQuorum(
        view = { GroupView(epoch = 1, majority = 1, members = listOf(member)) },
        channel = { _, _, request, onReply -> onReply(replyTo(request)) },
        wallMillis = { 0 },
    )
    private val coordinator = TurnCoordinator(quorum, TokenReserver(quorum, Scheduler { _, _ -> }, noOpLog))

    private fun replyTo(request: HistoryRequest): HistoryReply = when (request) {
        is HistoryRequest.Finish -> HistoryReply.Finished.also { request.turn?.let { stored[it.id] = it } }
        is HistoryRequest.Chain -> {
            chainReads++
            HistoryReply.Turns(listOf(stored.getValue(request.id)), stored.getValue(request.id).previous)
        }
        else -> error("unexpected request $request")
    }

    private fun finish(id: String, inputBytes: Int, previous: String? = null) {
        val turn = TurnRecord(id, "club", previous, ByteArray(inputBytes), ByteArray(10))
        coordinator.finish(tokens = null, used = 0, turn) { assertTrue(it) }
    }

    private fun earlierOf(previous: String): List<String> {
        var start: TurnStart? = null
        coordinator.begin("club", previous, entry = null, budget = null) { start = it.start }
        return assertIs<TurnStart.Ready>(start).earlier.map { it.id }
    }

    /** Guards against a daemon that runs out of memory because programs have large turns. */
    @Test
    fun `the memory of cached turns doesn't grow with the size of the turns`() {
        listOf(1024, 131_072, 400_000, 4_000_000).forEach { size ->
            repeat(ALL_BYTES / size) { finish("t-$size-$it", size) }
            assertTrue(coordinator.cachedBytes <= MAX_BYTES, "${coordinator.cachedBytes} bytes with turns of $size")
        }
    }

    @Test
    fun `a chain whose turns are not all cached is whole`() {
        val ids = List(100) { "t$it" }
        ids.forEachIndexed { index, id -> finish(id, 131_072, ids.getOrNull(index - 1)) }
        assertEquals(ids, earlierOf(ids.last()))
        assertTrue(chainReads in 1 until ids.size, "$chainReads turns read")
    }

    /** Guards against programs whose turns are read anew, over zones, because of one turn of another program. */
    @Test
    fun `a very large turn leaves the others cached`() {
        val ids = List(500) { "t$it" }
        ids.forEachIndexed { index, id -> finish(id, 2000, ids.getOrNull(index - 1)) }
        finish("large", 4_000_000)
        assertEquals(ids, earlierOf(ids.last()))
        assertEquals(0, chainReads)
        assertEquals(listOf("large"), earlierOf("large"))
    }

    @Test
    fun `a turn that is stored again counts once`() {
        finish("t1", 1000)
        val once = coordinator.cachedBytes
        finish("t1", 1000)
        assertEquals(once, coordinator.cachedBytes)
    }

    private companion object {
        const val MAX_BYTES = 4L * 1024 * 1024

        /** Size of the turns of a run together: the heap of an entry daemon. */
        const val ALL_BYTES = 96 * 1024 * 1024
        val member = Member("s1", 1, "a", "r", isEntry = false, ip = "127.0.0.1", peerPort = 1)
    }
}
