package io.jasmineford.gateway.turn

import io.jasmineford.gateway.log.EventLog
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue

/**
 * Entries that are written together.
 *
 * @property emptied number of a segment of the log that is removed once they are on disk; null for none.
 * @property onDone called on the control thread with the places of the entries, or with null if they can't be written.
 */
internal class PendingWrite(
    val entries: List<HistoryEntry>,
    val emptied: Int? = null,
    val onDone: (List<RecordLocation>?) -> Unit,
) {
    val bytes: Int get() = entries.sumOf { (it.turn?.input?.size ?: 0) + (it.turn?.output?.size ?: 0) }
}

/**
 * Appends entries to a log with group commit: one sync covers everything that is queued, up to a size. The queue is in
 * order.
 *
 * @param onControl runs an action on the control thread.
 */
internal class HistoryWriter(
    private val log: HistoryLog,
    private val events: EventLog,
    private val onControl: (() -> Unit) -> Unit,
) {
    private val queue = LinkedBlockingQueue<PendingWrite>()

    /** Starts the thread that writes. */
    fun start() = Thread(::writeLoop, "history-writer").apply { isDaemon = true }.start()

    /** Queues [write]. */
    fun add(write: PendingWrite) {
        queue.add(write)
    }

    private fun writeLoop() {
        while (true) {
            val batch = arrayListOf(queue.take())
            var bytes = batch.single().bytes
            while (bytes < MAX_BATCH_BYTES) {
                val next = queue.poll() ?: break
                batch.add(next)
                bytes += next.bytes
            }
            write(batch)
        }
    }

    /** Entries that can't be written are not acknowledged; the log is as before. */
    private fun write(batch: List<PendingWrite>) {
        val entries = batch.flatMap { it.entries }
        val locations = try {
            if (entries.isEmpty()) emptyList() else log.append(entries)
        } catch (e: IOException) {
            events.event("history-write-failed", "entries" to entries.size, "reason" to e.message)
            null
        }
        if (locations != null) batch.mapNotNull { it.emptied }.forEach(::remove)
        onControl { complete(batch, locations) }
    }

    private fun complete(batch: List<PendingWrite>, locations: List<RecordLocation>?) {
        var from = 0
        batch.forEach { write ->
            val to = from + write.entries.size
            val isWithoutEntries = from == to
            write.onDone(if (isWithoutEntries) emptyList() else locations?.subList(from, to))
            from = to
        }
    }

    /** A segment that can't be removed is read again after a restart, which does no harm. */
    private fun remove(segment: Int) = try {
        log.remove(segment)
    } catch (e: IOException) {
        events.event("history-segment-not-removed", "segment" to segment, "reason" to e.message)
    }

    private companion object {
        /** Bounds the memory for the bytes of one batch, and the time until its sync. */
        const val MAX_BATCH_BYTES = 1024 * 1024
    }
}
