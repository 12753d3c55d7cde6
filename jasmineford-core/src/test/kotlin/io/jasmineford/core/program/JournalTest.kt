package io.jasmineford.core.program

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.getError
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.time.VirtualClock
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.StoreError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class JournalTest {
    private val clock = VirtualClock()
    private val store = FakeObjectStore()
    private var nonce = 0
    private val journal = Journal("vm-1", JournalSettings(linger = 2.milliseconds), clock) { "n${nonce++}" }
    private val program = ProgramId(ScopedName("ub", "shop"), "p")

    private fun turn(number: Int, text: String) =
        ProgramRecord.TurnCommitted(program, number, listOf(Message("user", text)), Usage(), digest = "")

    /** Advances the clock until a write is due, executes it and passes the reply to the journal. */
    private fun write(): JournalProgress {
        clock.advance(journal.dueIn() ?: Duration.ZERO)
        val write = assertNotNull(journal.outstanding() ?: journal.poll())
        return journal.onReply(store.put(write.key, write.value, 0, write.nonce))
    }

    @Test
    fun `segments of multi-byte text stay within the store's size limit`() {
        (1..4).forEach { journal.append(turn(it, "ж".repeat(170_000))) }
        while (!journal.isIdle) assertIs<JournalProgress.Durable>(write())
        assertEquals(2, journal.storedSegments, "expected two records of 340,000 bytes in each segment")
    }

    @Test
    fun `a retry after a lost reply makes the record durable, and a seal fences the journal with no write left`() {
        journal.append(turn(1, "a"))
        assertNull(journal.poll(), "expected the journal to linger")
        store.loseReply = { true }
        assertEquals(JournalProgress.Retry, write())
        store.loseReply = { false }
        assertEquals(JournalProgress.Durable(1), write())
        seal(minRevision = 0)
        journal.append(turn(2, "b"))
        assertEquals(JournalProgress.Fenced(1), write())
        assertNull(journal.outstanding())
    }

    @Test
    fun `after a trim the seal follows the last segment, and a stale list is read again`() {
        (1..3).forEach {
            journal.append(turn(it, "a"))
            write()
        }
        val old = store.list(segmentPrefix("vm-1"), limit = 4)
        journal.trimBefore(position = 4).forEach { store.delete(it.key, it.version) }
        assertEquals(1, journal.storedSegments, "expected the newest segment to stay")
        val reader = JournalReader("vm-1", seal = true, minRevision = store.revision, nonces = { "s" }, onSegment = { })
        reader.onPage(old)
        assertIs<ReplayStep.ListPage>(reader.step(), "expected the stale list to be read again")
        assertEquals(segmentKey("vm-1", 3), seal(minRevision = store.revision).last())
    }

    /** Seals the journal, with the first list call of each page failing, and returns the keys that were written. */
    private fun seal(minRevision: Long): List<String> {
        val keys = mutableListOf<String>()
        val reader = JournalReader("vm-1", seal = true, minRevision, nonces = { "seal" }, onSegment = { })
        while (!reader.isDone) {
            when (val step = reader.step()) {
                is ReplayStep.ListPage -> {
                    reader.onPage(Err(StoreError.Unavailable("down")))
                    reader.onPage(store.list(step.prefix, step.limit, step.token))
                }

                is ReplayStep.Seal -> {
                    keys += step.write.key
                    reader.onSealed(store.put(step.write.key, step.write.value, 0, step.write.nonce))
                }

                else -> error("expected a list or a seal, actual $step")
            }
        }
        assertNull(store.get(keys.last()).getError())
        return keys
    }
}
