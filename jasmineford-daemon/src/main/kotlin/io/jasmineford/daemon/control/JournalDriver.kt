package io.jasmineford.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalProgress
import io.jasmineford.core.program.JournalRecord
import io.jasmineford.core.program.SegmentWrite
import io.jasmineford.daemon.warnEvent
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectStore
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Result of waiting for a journal record to become durable. */
enum class Durability {
    /** The store confirmed the record. */
    DURABLE,

    /** Another VM sealed the journal; the record is not durable and never will be. */
    FENCED,

    /** The store did not answer in time; the record may become durable later. */
    UNKNOWN,
}

/** Writes the segments of one [journal] to the store. All functions run on the control thread. */
class JournalDriver(
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    val journal: Journal,
    private val onProgress: () -> Unit = {},
) {
    private val waiters = TreeMap<Long, CompletableDeferred<Durability>>()
    private val wake = Channel<Unit>(Channel.CONFLATED)

    /** Number of segment writes sent so far, repeated ones included. */
    var segmentWrites: Long = 0
        private set

    /** Writes each segment when it is due, until the journal is fenced or the scope is cancelled. */
    fun start() = scope.launch {
        while (!journal.isFenced) {
            val due = journal.dueIn()
            when {
                due == null -> wake.receive()
                due > Duration.ZERO -> delay(due)
                else -> journal.poll()?.let { send(it) }
            }
        }
    }

    /** Wakes the writer after records were appended to [journal] directly. */
    fun wakeWriter() {
        wake.trySend(Unit)
    }

    /** Appends [records] and waits until all are durable, the journal is fenced or [timeout] passes. */
    suspend fun append(records: List<JournalRecord>, timeout: Duration): Durability {
        if (journal.isFenced) return Durability.FENCED
        records.forEach { journal.append(it) }
        return awaitAll(timeout)
    }

    /** Waits until every record appended so far is durable, the journal is fenced or [timeout] passes. */
    suspend fun awaitAll(timeout: Duration): Durability {
        if (journal.isFenced) return Durability.FENCED
        if (journal.isIdle) return Durability.DURABLE
        wakeWriter()
        val waiter = waiters.getOrPut(journal.appendedPosition) { CompletableDeferred() }
        return withTimeoutOrNull(timeout) { waiter.await() } ?: Durability.UNKNOWN
    }

    private suspend fun send(write: SegmentWrite) {
        var progress: JournalProgress
        do {
            segmentWrites++
            progress = journal.onReply(store.put(write.key, write.value, ABSENT_VERSION, write.nonce))
            if (progress is JournalProgress.Retry) delay(RETRY_INTERVAL)
        } while (progress is JournalProgress.Retry)
        when (progress) {
            is JournalProgress.Durable -> completeWaiters(waiters.headMap(progress.upTo, true), Durability.DURABLE)

            is JournalProgress.Fenced -> {
                log.warnEvent("journal_fenced", "key" to write.key)
                completeWaiters(waiters, Durability.FENCED)
            }

            JournalProgress.Retry -> error("expected a durable or fenced segment, actual another retry")
        }
        onProgress()
    }

    private fun completeWaiters(done: MutableMap<Long, CompletableDeferred<Durability>>, durability: Durability) {
        done.values.forEach { it.complete(durability) }
        done.clear()
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val RETRY_INTERVAL = 100.milliseconds
    }
}
