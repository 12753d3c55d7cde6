package io.jasmineford.gateway.turn

import io.jasmineford.gateway.log.EventLog
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue

/**
 * One replica of the history: serves reads from memory and persists writes in a write-ahead log.
 *
 * State is confined to the control thread. A writer thread appends queued entries to the log with group commit: one
 * sync covers everything that is queued. A write is acknowledged after its sync.
 *
 * @param onControl runs an action on the control thread.
 */
class HistoryReplica(
    private val log: HistoryLog,
    private val events: EventLog,
    private val onControl: (() -> Unit) -> Unit,
) {
    private val state = HistoryState()
    private val writeQueue = LinkedBlockingQueue<PendingWrite>()

    /**
     * Number of this replica's entries that each other replica has on disk, by the reader's name; counted anew under
     * each epoch, in which a reader takes note of what it has copied.
     */
    val copiedUpTo = HashMap<String, Int>()

    /** Epoch and completeness of this replica. They are kept in the log, which a loss of the disk erases. */
    var status = HistoryStatus(epoch = 0, isComplete = false)
        private set

    private var syncedStatus = status

    /** Whether the status is on disk. Before it is, a crash makes the daemon forget which groups it has seen. */
    val isStatusSynced: Boolean get() = status == syncedStatus

    /** Number of entries held. */
    val size: Int get() = state.size

    private class PendingWrite(val entries: List<HistoryEntry>, val onSynced: () -> Unit)

    /** Replays the log and starts the writer thread; on the first start of the deployment the empty log is complete. */
    fun start(isFirstStart: Boolean) {
        val bytes = log.replay { entry ->
            entry.status?.let { status = it } ?: state.apply(entry)
        }
        syncedStatus = status
        events.event("history-loaded", "entries" to state.size, "bytes" to bytes, "standing" to status)
        Thread(::writeLoop, "history-writer").apply { isDaemon = true }.start()
        if (isFirstStart && !status.knowsGroup) updateStatus(status.copied())
    }

    /** Changes the status; it is on disk before any later write is acknowledged. */
    fun updateStatus(next: HistoryStatus) {
        if (next == status) return
        if (next.epoch != status.epoch) copiedUpTo.clear()
        status = next
        events.event(
            "history-standing",
            "epoch" to next.epoch,
            "complete" to next.isComplete,
            "entries" to state.size,
            "complete_through" to next.completeThrough,
            "copied_at" to next.copiedAt,
            "first_epoch" to next.firstEpoch,
        )
        writeStatus(next) {}
    }

    /** Makes this voter complete once that is on disk, unless the group has changed until then. */
    fun completeCopy() {
        val copied = status.copied()
        writeStatus(copied) { if (status.epoch == copied.epoch) updateStatus(copied) }
    }

    private fun writeStatus(next: HistoryStatus, onSynced: () -> Unit) {
        val entry = HistoryEntry(status = next)
        writeQueue.add(
            PendingWrite(listOf(entry)) {
                syncedStatus = next
                onSynced()
            },
        )
    }

    /**
     * Handles [request] of a sender that knows the group of [stamp]; [reply] is called on the control thread.
     *
     * Requests of an older epoch are fenced, except copies. With an empty disk, nothing is acknowledged before the
     * stored group is known: an epoch of a client may be older than entries that were lost.
     */
    fun handle(stamp: GroupStamp, request: HistoryRequest, reply: (HistoryReply) -> Unit) {
        when {
            !status.knowsGroup -> reply(HistoryReply.Incomplete)
            stamp.epoch < status.epoch && request !is HistoryRequest.Copy -> {
                reply(HistoryReply.StaleGroup(status.epoch))
            }
            else -> {
                if (stamp.epoch > status.epoch) updateStatus(status.inGroup(stamp))
                serve(request, reply)
            }
        }
    }

    private fun serve(request: HistoryRequest, reply: (HistoryReply) -> Unit) {
        when (request) {
            is HistoryRequest.Reserve -> write(listOf(HistoryEntry(tokens = request.entry))) {
                val ledger = state.tokens(request.entry.program)
                reply(
                    if (status.isComplete) {
                        HistoryReply.Reserved(ledger.total, ledger.digest)
                    } else {
                        HistoryReply.Incomplete
                    },
                )
            }
            is HistoryRequest.Finish -> {
                val entries = listOfNotNull(
                    request.tokens?.let { HistoryEntry(tokens = it) },
                    request.turn?.let { HistoryEntry(turn = it) },
                )
                write(entries) { reply(HistoryReply.Finished) }
            }
            is HistoryRequest.Tokens -> {
                val entries = state.tokens(request.program).entries.toList()
                reply(HistoryReply.Tokens(entries, status.isComplete))
            }
            is HistoryRequest.Chain -> reply(chain(request))
            is HistoryRequest.Copy -> {
                val copied = copy(request)
                // The reader counts on the epoch that fences older requests here, so it has to be on disk first.
                write(emptyList()) { reply(copied) }
            }
        }
    }

    private fun chain(request: HistoryRequest.Chain): HistoryReply {
        val (turns, missing) = state.chain(request.id, request.account)
        return if (missing != null && !status.isComplete) {
            HistoryReply.Incomplete
        } else {
            HistoryReply.Turns(
                turns,
                missing
            )
        }
    }

    private fun copy(request: HistoryRequest.Copy): HistoryReply {
        copiedUpTo[request.reader] = request.from
        val entries = state.entriesFrom(request.from, COPY_ENTRIES)
        val next = request.from + entries.size
        return HistoryReply.Copied(entries, next, isEnd = next >= state.size, status)
    }

    /** Stores [entries], which may be copied from another replica; [onSynced] is called when they are on disk. */
    fun write(entries: List<HistoryEntry>, onSynced: () -> Unit) {
        val newEntries = entries.filter { state.apply(it) }
        // A duplicate is not written again, but its first copy may still wait for its sync: the reply queues behind it.
        writeQueue.add(PendingWrite(newEntries, onSynced))
    }

    private fun writeLoop() {
        val batch = ArrayList<PendingWrite>()
        while (true) {
            batch.add(writeQueue.take())
            writeQueue.drainTo(batch)
            val writes = batch.toList()
            batch.clear()
            try {
                val entries = writes.flatMap { it.entries }
                if (entries.isNotEmpty()) log.append(entries)
                onControl { writes.forEach { it.onSynced() } }
            } catch (e: IOException) {
                // Unwritten entries are never acknowledged. The process restarts from what is on disk.
                events.event("history-write-failed", "reason" to e.message)
                throw e
            }
        }
    }

    private companion object {
        /** Entries in one copy reply, some hundred KB of turns. */
        const val COPY_ENTRIES = 64
    }
}
