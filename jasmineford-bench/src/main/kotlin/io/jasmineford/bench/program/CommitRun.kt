package io.jasmineford.bench.program

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalProgress
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.Message
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.ProgramRecord
import io.jasmineford.core.program.Segment
import io.jasmineford.core.program.Usage
import io.jasmineford.core.program.journalJson
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Cost of making turns durable: store writes, written bytes and the wait of each turn for the store. */
internal data class CommitCost(val turns: Int, val writes: Long, val bytes: Long, val waits: List<Duration>)

/**
 * One writer that makes turns of about 3 KB durable. The store takes 2 to 8 ms for each write and any number of writes
 * at once.
 *
 * @param rate mean number of turns per second; arrivals are a Poisson process.
 */
internal class CommitRun(seed: Long, private val rate: Double) {
    private val random = Random(seed)
    private val loop = EventLoop()
    private val store = FakeObjectStore()
    private val waits = ArrayList<Duration>()
    private var bytes = 0L
    private var turns = 0

    /** Group commit by the product's journal: each turn waits once, and one write commits many turns. */
    fun groupCommit(writeInterval: Duration): CommitCost {
        val journal = Journal("vm-1", JournalSettings(writeInterval = writeInterval), loop.clock) { "n${store.counts.writes}" }
        val waiting = ArrayDeque<Pair<Long, Duration>>()
        fun write() {
            val write = journal.poll() ?: return
            bytes += write.value.length
            loop.after(storeTime()) {
                val progress = journal.onReply(store.put(write.key, write.value, ABSENT_VERSION, write.nonce))
                val durable = (progress as JournalProgress.Durable).upTo
                while (waiting.isNotEmpty() && waiting.first().first <= durable) {
                    waits += loop.clock.now() - waiting.removeFirst().second
                }
                journal.dueIn()?.let { loop.after(it, ::write) }
            }
        }
        arrivals {
            waiting += journal.append(turn()) to loop.clock.now()
            journal.dueIn()?.let { loop.after(it, ::write) }
        }
        return cost()
    }

    /** Baseline: one conditional write before and one after every turn. */
    fun twoWrites(): CommitCost {
        arrivals {
            val record = turn()
            val intent = ProgramRecord.IntentRecorded(record.program, record.turn, record.program.name, record.requestDigest)
            val started = loop.clock.now()
            put("before", journalJson.encodeToString(Segment(0, listOf(intent)))) {
                put("after", journalJson.encodeToString(Segment(0, listOf(record)))) { waits += loop.clock.now() - started }
            }
        }
        return cost()
    }

    private fun put(part: String, value: String, onDone: () -> Unit) {
        val key = "turn/${store.counts.writes}/$part/${random.nextLong()}"
        bytes += value.length
        loop.after(storeTime()) {
            store.put(key, value, ABSENT_VERSION, key)
            onDone()
        }
    }

    private fun arrivals(onTurn: () -> Unit) {
        loop.after((-ln(1 - random.nextDouble()) / rate).seconds) {
            if (loop.clock.now() > DURATION) return@after
            onTurn()
            arrivals(onTurn)
        }
    }

    private fun turn(): ProgramRecord.TurnCommitted {
        turns++
        val text = "x".repeat(random.nextInt(MIN_CHARS, MAX_CHARS))
        val program = ProgramId(ScopedName("be-wal", "club"), "fixture-$turns")
        val messages = listOf(Message("user", text), Message("assistant", text))
        return ProgramRecord.TurnCommitted(program, turn = 1, messages, Usage(), "d".repeat(DIGEST_CHARS), "r".repeat(DIGEST_CHARS))
    }

    private fun storeTime() = random.nextDouble(MIN_STORE_MS, MAX_STORE_MS).milliseconds

    private fun cost(): CommitCost {
        loop.runUntil(DURATION + 1.seconds)
        return CommitCost(turns, store.counts.writes, bytes, waits)
    }

    private companion object {
        val DURATION = 20.seconds
        const val MIN_STORE_MS = 2.0
        const val MAX_STORE_MS = 8.0
        const val MIN_CHARS = 700
        const val MAX_CHARS = 2_000
        const val DIGEST_CHARS = 64
    }
}
