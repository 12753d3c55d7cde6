package io.jasmineford.core.program

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.lease.ShardOwner
import io.jasmineford.core.time.VirtualClock
import io.jasmineford.standin.platform.FakeObjectStore
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class ShardLifecycleTest {
    private val clock = VirtualClock()
    private val store = FakeObjectStore()
    private val journal = Journal("vm-1", JournalSettings(), clock) { "n${store.revision}" }
    private val registry = ProgramRegistry(clock)
    private val ownership = FakeOwnership()
    private val lifecycle = ShardLifecycle(ownership, journal, registry, { 0 }, { "seal" })
    private val request = TurnRequest(ProgramId(ScopedName("be-wal", "club"), "p"), turn = 1)

    private fun write() {
        clock.advance(journal.dueIn() ?: return)
        val write = checkNotNull(journal.poll())
        journal.onReply(store.put(write.key, write.value, 0, write.nonce))
    }

    private fun serve() {
        lifecycle.poll()
        write()
        lifecycle.poll()
        assertEquals(true, lifecycle.isServing(0), "expected a new shard to be served once its snapshot is durable")
    }

    @Test
    fun `a shard is released only when its calls have ended and every record is durable`() {
        serve()
        lifecycle.callBegan(0)
        val ticket = assertIs<TurnDecision.Run>(lifecycle.begin(request)).ticket
        ownership.moving = setOf(0)
        assertEquals(emptyList(), lifecycle.poll(), "a call is in flight")
        assertNull(lifecycle.begin(request), "expected no new call while the shard drains")
        journal.append(checkNotNull(registry.commit(ticket, emptyList(), Usage())))
        lifecycle.callEnded(0)
        assertEquals(emptyList(), lifecycle.poll(), "the last turn would be missing from the new owner's replay")
        write()
        assertEquals(listOf<ShardAction>(ShardAction.Release(setOf(0))), lifecycle.poll())
    }

    @Test
    fun `after a cancelled release a shard is served again only once the map has advanced`() {
        serve()
        ownership.moving = setOf(0)
        lifecycle.poll()
        ownership.moving = emptySet()
        lifecycle.poll()
        assertEquals(false, lifecycle.isServing(0), "the release may still take effect")
        ownership.mapEpoch++
        lifecycle.poll()
        assertEquals(true, lifecycle.isServing(0))
    }

    @Test
    fun `a fenced journal removes all programs, since memory may hold turns that never became durable`() {
        serve()
        val ticket = assertIs<TurnDecision.Run>(lifecycle.begin(request)).ticket
        journal.append(checkNotNull(registry.commit(ticket, emptyList(), Usage())))
        store.put(segmentKey("vm-1", 1), journalJson.encodeToString(Segment(1, isSeal = true)), 0, "successor")
        write()
        assertEquals(false, lifecycle.isServing(0))
        lifecycle.poll()
        assertEquals(0, registry.size)
    }

    private class FakeOwnership : ShardOwnership {
        var moving = emptySet<Int>()
        override var mapEpoch = 1L
        override val mapRevision = 0L
        override val owners = listOf(ShardOwner("vm", incarnation = 1, epoch = 1, journals = listOf("vm-1")))

        override fun isOwner(shard: Int) = true

        override fun isActiveOwner(shard: Int) = true

        override fun shardsToHandOver() = moving
    }
}
