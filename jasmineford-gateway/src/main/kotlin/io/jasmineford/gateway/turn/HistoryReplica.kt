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

    /** Number of this replica's entries that each other replica has on disk, by the reader's name. */
    val copiedUpTo = HashMap<String, Int>()

    /** Epoch and completeness of this replica. They are kept in the log, which a loss of the disk erases. */
    var status = HistoryStatus(epoch = 0, isComplete = false)
        private set

    /** Number of entries held. */
    val size: Int get() = state.size

    private class PendingWrite(val entries: List<HistoryEntry>, val onSynced: () -> Unit)

    /** Replays the log and starts the writer thread; on the first start of the deployment the empty log is complete. */
    fun start(isFirstStart: Boolean) {
        val bytes = log.replay { entry ->
            entry.status?.let { status = it } ?: state.apply(entry)
        }
        events.event("history-loaded", "entries" to state.size, "bytes" to bytes, "standing" to status)
        Thread(::writeLoop, "history-writer").apply { isDaemon = true }.start()
        if (isFirstStart && !status.isComplete) updateStatus(status.copy(isComplete = true))
    }

    /** Changes the status; it is on disk before any later write is acknowledged. */
    fun updateStatus(next: HistoryStatus) {
        if (next == status) return
        status = next
        events.event("history-standing", "epoch" to next.epoch, "complete" to next.isComplete, "entries" to state.size)
        writeQueue.add(PendingWrite(listOf(HistoryEntry(status = next))) {})
    }

    /**
     * Handles [request] of a sender that knows the group of [epoch]; [reply] is called on the control thread.
     *
     * Requests of an older epoch are fenced, except copies.
     */
    fun handle(epoch: Long, request: HistoryRequest, reply: (HistoryReply) -> Unit) {
        if (epoch < status.epoch && request !is HistoryRequest.Copy) {
            reply(HistoryReply.StaleGroup(status.epoch))
            return
        }
        if (epoch > status.epoch) updateStatus(status.copy(epoch = epoch))
        serve(request, reply)
    }

    private fun serve(request: HistoryRequest, reply: (HistoryReply) -> Unit) {
        when (request) {
            is HistoryRequest.Reserve -> write(listOf(HistoryEntry(tokens = request.entry))) {
                reply(reserved(request.entry.program))
            }
            is HistoryRequest.Finish -> {
                val entries = listOfNotNull(
                    request.tokens?.let { HistoryEntry(tokens = it) },
                    request.turn?.let { HistoryEntry(turn = it) },
                )
                write(entries) { reply(HistoryReply.Finished) }
            }
            is HistoryRequest.Tokens -> reply(HistoryReply.Tokens(state.tokens(request.program).entries.toList()))
            is HistoryRequest.Chain -> reply(chain(request))
            is HistoryRequest.Copy -> reply(copy(request))
        }
    }

    /** Stores entries copied from another replica; [onSynced] is called when they are on disk. */
    fun storeCopied(entries: List<HistoryEntry>, onSynced: () -> Unit) = write(entries, onSynced)

    private fun reserved(program: ProgramKey): HistoryReply {
        val ledger = state.tokens(program)
        return if (status.isComplete) {
            HistoryReply.Reserved(
                ledger.total,
                ledger.digest
            )
        } else {
            HistoryReply.Incomplete
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
        return HistoryReply.Copied(entries, next, isEnd = next >= state.size)
    }

    private fun write(entries: List<HistoryEntry>, onSynced: () -> Unit) {
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
