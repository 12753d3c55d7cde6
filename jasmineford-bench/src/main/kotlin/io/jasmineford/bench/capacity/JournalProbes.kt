package io.jasmineford.bench.capacity

import io.jasmineford.bench.fleet.VirtualTime
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.ProgramRecord
import io.jasmineford.core.program.Usage
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Segments and bytes that one daemon's journal writes in 20 s at [turnsPerSecond]. */
private class JournalLoad(private val turnsPerSecond: Int) {
    private val time = VirtualTime()
    private val store = FakeObjectStore(historyLimit = 1)
    private var nonce = 0L
    private val settings = JournalSettings()
    private val journal = Journal("vm-1", settings, time.clock) { "n${nonce++}" }
    private val random = Random(1)
    var segments = 0
        private set
    var bytes = 0L
        private set

    fun run(): JournalLoad {
        repeat(turnsPerSecond * SECONDS) {
            time.at(SECONDS.seconds * random.nextDouble()) {
                journal.append(turn(it))
                time.after(settings.linger) { write() }
            }
        }
        time.runUntil(SECONDS.seconds + 1.seconds)
        return this
    }

    private fun write() {
        val write = journal.poll() ?: return
        segments++
        bytes += write.value.length
        time.after(STORE_DELAY) {
            journal.onReply(store.put(write.key, write.value, ABSENT_VERSION, write.nonce))
            time.after(settings.linger) { write() }
        }
    }

    private fun turn(number: Int) = ProgramRecord.TurnCommitted(
        program = ProgramId(ScopedName("organisation", "account"), "program-$number"),
        turn = 1,
        messages = listOf(Message("assistant", "x".repeat(TURN_CHARS))),
        usage = Usage(1_000, 300, 900),
        digest = "d".repeat(64),
        requestDigest = "r".repeat(64),
        elapsedMs = 1,
    )
}

/** Store writes and bytes of one daemon's journal by turns per second. */
internal fun journalProbes(): List<CapacityProbe> = listOf(
    CapacityProbe("journal-writes", "writes/s a daemon", "turn/s", TURNS, DESIGN_TURNS) { size ->
        JournalLoad(size).run().segments / SECONDS.toDouble()
    },
    CapacityProbe("journal-bytes", "bytes/s a daemon", "turn/s", TURNS, DESIGN_TURNS) { size ->
        JournalLoad(size).run().bytes / SECONDS.toDouble()
    },
)

/** 26,000 requests per second over 390 daemons. */
private const val DESIGN_TURNS = 67
private val TURNS = listOf(7, 20, 67, 200)
private const val SECONDS = 20
private const val TURN_CHARS = 3_000
private val STORE_DELAY = 4.milliseconds
