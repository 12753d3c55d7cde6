package io.jasmineford.gateway.turn

import io.jasmineford.gateway.noOpLog
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.nio.file.Path
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Guards against acknowledged turns, settlements and statuses that are lost when the log is cut, whenever the process
 * ends, the machine loses power or the disk is full.
 */
class HistorySegmentsTest {
    @TempDir
    lateinit var directory: Path

    private val program = ProgramKey("club", "p")

    private fun turn(id: String, bytes: Int = 100) =
        HistoryEntry(turn = TurnRecord(id, "club", null, ByteArray(bytes), ByteArray(10)))

    /** A daemon without threads. */
    private inner class Daemon(folder: LogFolder) {
        val log = HistoryLog(folder, segmentBytes = 1000)
        val state = HistoryState(load = log::read, cacheBytes = 0)
        var status = HistoryStatus(0, isComplete = false)
        val bytes = log.replayLocated { entry, location ->
            entry.status?.let { status = it }
            state.hold(entry).forEach { state.located(it, location) }
        }
        private val cleaner = HistoryCleaner(state, log, noOpLog) { records, emptied, onDone ->
            append(records, listOfNotNull(HistoryEntry(status = status).takeIf { emptied != null }))
            emptied?.let(log::remove)
            onDone(true)
        }

        fun store(entry: HistoryEntry) = append(state.hold(entry), emptyList())

        fun store(next: HistoryStatus) {
            status = next
            append(emptyList(), listOf(HistoryEntry(status = next)))
        }

        private fun append(records: List<HeldRecord>, others: List<HistoryEntry>) {
            val locations = log.append(records.map(state::entryOf) + others)
            records.zip(locations).forEach { (record, location) -> state.located(record, location) }
        }

        fun drop(id: String) = state.remove(listOf(id), emptyList())

        fun clean() = cleaner.clean()

        fun turns() = state.turns.keys.toSet()
    }

    /** What callers of [Daemon] were told. */
    private class Acknowledged {
        val turns = HashSet<String>()
        var epoch = 0L
        var settled = 0L
    }

    /** Stores and drops turns at random until the process ends; returns what was acknowledged and not dropped. */
    private fun work(folder: LogFolder, random: Random, known: Acknowledged) {
        val daemon = Daemon(folder)
        check(daemon, known)
        (daemon.turns() - known.turns).forEach(daemon::drop)
        repeat(STEPS) { step ->
            val id = "t${daemon.state.end}-$step"
            daemon.store(turn(id, bytes = random.nextInt(400)))
            known.turns += id
            if (step % 5 == 0) {
                val next = daemon.status.epoch + 1
                daemon.store(HistoryStatus(next, isComplete = true))
                known.epoch = next
            }
            if (step % 7 == 0) {
                daemon.store(HistoryEntry(tokens = TokenEntry(program, "a$step", 9, isSettled = false)))
                daemon.store(HistoryEntry(tokens = TokenEntry(program, "a$step", 3, isSettled = true)))
                known.settled = daemon.state.tokens(program).settled
            }
            while (known.turns.size > MAX_TURNS) {
                val dropped = known.turns.random(random)
                known.turns -= dropped
                daemon.drop(dropped)
            }
            daemon.clean()
        }
    }

    private fun check(daemon: Daemon, known: Acknowledged) {
        val missing = known.turns - daemon.turns()
        assertTrue(missing.isEmpty(), "lost $missing")
        known.turns.forEach { id -> assertEquals(id, daemon.state.chain(id, "club").turns.single().id) }
        assertTrue(daemon.status.epoch >= known.epoch, "epoch ${daemon.status.epoch} < ${known.epoch}")
        assertTrue(daemon.state.tokens(program).settled >= known.settled, "settlements are lost")
    }

    @Test
    fun `acknowledged entries survive the end of the process, or a loss of power, at any change of the disk`() {
        repeat(RUNS) { seed ->
            val random = Random(seed)
            var folder = SimulatedLogFolder(random)
            val known = Acknowledged()
            repeat(RESTARTS) { restart ->
                folder.endAfter = random.nextInt(MAX_CHANGES)
                try {
                    work(folder, random, known)
                } catch (_: ProcessEnded) {
                    // The daemon is started again below.
                } catch (e: AssertionError) {
                    throw AssertionError("seed $seed, restart $restart", e)
                }
                folder = if (random.nextBoolean()) folder.losePower() else folder.restart()
            }
            check(Daemon(folder), known)
        }
    }

    @Test
    fun `acknowledged entries survive the end of the process at each change of one run`() {
        val whole = SimulatedLogFolder(Random(1))
        work(whole, Random(1), Acknowledged())
        for (end in 1..whole.changes) {
            val random = Random(1)
            val folder = SimulatedLogFolder(random).apply { endAfter = end }
            val known = Acknowledged()
            assertFailsWith<ProcessEnded> { work(folder, random, known) }
            check(Daemon(folder.restart()), known)
            check(Daemon(folder.losePower()), known)
        }
    }

    @Test
    fun `the log does not grow while old turns are dropped`() {
        val folder = SimulatedLogFolder(Random(1))
        val known = Acknowledged()
        var largest = 0
        repeat(20) {
            work(folder.apply { endAfter = Int.MAX_VALUE }, Random(it), known)
            largest = maxOf(largest, folder.size)
        }
        assertTrue(largest < MAX_BYTES, "the log has grown to $largest bytes")
    }

    @Test
    fun `an entry that does not fit on the disk is not stored, and later ones are`() {
        val folder = SimulatedLogFolder(Random(1))
        val daemon = Daemon(folder)
        daemon.store(turn("a"))
        for (free in 0..150) {
            folder.capacity = folder.size + free.toLong()
            assertFailsWith<IOException> { daemon.store(turn("large", bytes = 200)) }
            assertEquals(daemon.log.bytes, folder.size.toLong())
        }
        folder.capacity = Long.MAX_VALUE
        daemon.store(turn("b"))
        assertEquals(setOf("a", "b"), Daemon(folder.losePower()).turns())
    }

    @Test
    fun `a turn that could not be written is written when it is repeated`() {
        val folder = SimulatedLogFolder(Random(1))
        val daemon = Daemon(folder)
        folder.capacity = 0
        assertFailsWith<IOException> { daemon.store(turn("a")) }
        folder.capacity = Long.MAX_VALUE
        daemon.store(turn("a"))
        assertEquals(setOf("a"), Daemon(folder.losePower()).turns())
    }

    /** The process ended between a write and its sync; what it left counts as on disk for the next one. */
    @Test
    fun `what is found in the log at a start survives a loss of power`() {
        repeat(100) { seed ->
            val folder = SimulatedLogFolder(Random(seed))
            val first = Daemon(folder)
            first.store(turn("a"))
            folder.endAfter = folder.changes + 2
            assertFailsWith<ProcessEnded> { first.store(turn("b")) }
            val restarted = folder.restart()
            val second = Daemon(restarted)
            assertEquals(setOf("a", "b"), second.turns())
            assertTrue(second.state.hold(turn("b")).isEmpty(), "a repeated write is taken for a new one")
            assertEquals(setOf("a", "b"), Daemon(restarted.losePower()).turns(), "seed $seed")
        }
    }

    @Test
    fun `the log of an earlier release is read, and has another name once there is a second segment`() {
        val entries = (1..30).map { turn("t$it") }
        HistoryLog(directory).use { it.append(entries) }
        val daemon = Daemon(DiskLogFolder(directory))
        assertEquals(30, daemon.turns().size)
        daemon.store(turn("new"))
        val names = DiskLogFolder(directory).names()
        assertEquals(listOf("history-000000000.log", "history-000000001.log"), names)
        assertEquals(31, Daemon(DiskLogFolder(directory)).turns().size)
    }

    @Test
    fun `segments on a real disk are removed once they are not needed`() {
        val daemon = Daemon(DiskLogFolder(directory))
        daemon.store(HistoryStatus(7, isComplete = true))
        val ids = (1..40).map { "t$it" }
        ids.forEach { daemon.store(turn(it)) }
        ids.dropLast(1).forEach(daemon::drop)
        repeat(40) { daemon.clean() }
        assertTrue(daemon.log.bytes < 2500, "${daemon.log.bytes} bytes remain")
        val restarted = Daemon(DiskLogFolder(directory))
        assertTrue("t40" in restarted.turns())
        assertFalse("t1" in restarted.turns())
        assertEquals(7, restarted.status.epoch)
    }

    private companion object {
        const val RUNS = 300
        const val RESTARTS = 8
        const val STEPS = 60
        const val MAX_TURNS = 6
        const val MAX_CHANGES = 250
        const val MAX_BYTES = 20_000
    }
}
