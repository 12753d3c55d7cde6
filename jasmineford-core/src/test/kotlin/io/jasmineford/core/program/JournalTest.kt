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
import kotlin.time.Duration.Companion.milliseconds

class JournalTest {
    private val clock = VirtualClock()
    private val store = FakeObjectStore()
    private var nonce = 0
    private val journal = Journal("vm-1", JournalSettings(linger = 2.milliseconds), clock) { "n${nonce++}" }
    private val program = ProgramId(ScopedName("ub", "shop"), "p")

    private fun turn(number: Int, text: String) =
        ProgramRecord.TurnCommitted(program, number, listOf(Message("user", text)), Usage(), digest = "")

    private fun write(): JournalProgress {
        val write = assertNotNull(journal.outstanding() ?: journal.poll())
        return journal.onReply(store.put(write.key, write.value, 0, write.nonce))
    }

    @Test
    fun `records in a script of two bytes a letter stay within the store's limit`() {
        (1..4).forEach { journal.append(turn(it, "ж".repeat(170_000))) }
        clock.advance(2.milliseconds)
        while (!journal.isIdle) assertIs<JournalProgress.Durable>(write())
        assertEquals(2, journal.storedSegments, "expected two records of 340,000 bytes a segment")
    }

    @Test
    fun `a lost reply counts as durable, a seal fences, and nothing is in flight afterwards`() {
        journal.append(turn(1, "a"))
        assertNull(journal.poll(), "expected the journal to linger")
        clock.advance(2.milliseconds)
        store.loseReply = { true }
        assertEquals(JournalProgress.Retry, write())
        store.loseReply = { false }
        assertEquals(JournalProgress.Durable(1), write())
        seal(minRevision = 0)
        journal.append(turn(2, "b"))
        clock.advance(2.milliseconds)
        assertEquals(JournalProgress.Fenced(1), write())
        assertNull(journal.outstanding())
    }

    @Test
    fun `a seal lands behind the last segment after a trim and never by a list that is too old`() {
        (1..3).forEach {
            journal.append(turn(it, "a"))
            clock.advance(2.milliseconds)
            write()
        }
        val old = store.list(segmentPrefix("vm-1"), limit = 4)
        journal.trimBefore(position = 4).forEach { store.delete(it.key, it.version) }
        assertEquals(1, journal.storedSegments, "expected the newest segment to stay")
        val reader = JournalReader("vm-1", seal = true, minRevision = store.revision, nonces = { "s" }, onSegment = { })
        reader.onPage(old)
        assertIs<ReplayStep.ListPage>(reader.step(), "expected the old list to be read again")
        assertEquals(segmentKey("vm-1", 3), seal(minRevision = store.revision).last())
    }

    /** Seals the journal over a store that fails every first call, and returns the keys that were put. */
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
