package io.jasmineford.gateway.turn

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.log.EventLog

/**
 * One replica of the history: serves reads from memory and disk, and persists writes in a write-ahead log.
 *
 * State is confined to the control thread. A writer thread appends queued entries to the log. A write is acknowledged
 * after its sync.
 *
 * @param clock clock from which the ages of entries are counted.
 * @param budget memory and disk for entries; beyond it, turns are refused.
 * @param onControl runs an action on the control thread.
 */
class HistoryReplica(
    private val log: HistoryLog,
    private val events: EventLog,
    private val clock: MonotonicClock = systemMonotonicClock(),
    private val budget: HistoryBudget = HistoryBudget(),
    onControl: (() -> Unit) -> Unit,
) {
    private val state = HistoryState(clock::now, log::read, budget.cacheBytes)
    private val writer = HistoryWriter(log, events, onControl)
    private val cleaner = HistoryCleaner(state, log, events, ::append)
    private val reader = HistoryReader(state)

    /**
     * Number of this replica's entries that each other replica has on disk, by the reader's name; counted anew under
     * each epoch, in which a reader takes note of what it has copied.
     */
    val copiedUpTo = HashMap<String, Int>()

    /** Epoch and completeness of this replica. They are kept in the log, which a loss of the disk erases. */
    var status = HistoryStatus(epoch = 0, isComplete = false)
        private set

    private var syncedStatus = status

    /** The status that the log will end with once the queued writes are on disk. */
    private var queuedStatus = status

    /** Whether the status is on disk. Before it is, a crash makes the daemon forget which groups it has seen. */
    val isStatusSynced: Boolean get() = status == syncedStatus

    /** Number of entries held. */
    val size: Int get() = state.size

    /** Position after the last entry, which a reader that has copied all of them has reached. */
    val end: Int get() = state.end

    /** Share of the memory or disk for entries that is in use, whichever is larger. */
    val usedShare: Double get() = budget.usedShare(state.usedBytes, log.bytes)

    /** Decides which entries are kept. */
    val keeper = HistoryKeeper(state, clock, events) { age ->
        writer.add(PendingWrite(listOf(HistoryEntry(keptMillis = age.inWholeMilliseconds))) {})
    }

    /** Replays the log and starts the writer thread; on the first start of the deployment the empty log is complete. */
    fun start(isFirstStart: Boolean) {
        val bytes = log.replayLocated { entry, location ->
            entry.status?.let { status = it }
            entry.keptMillis?.let(keeper::restore)
            state.hold(entry).forEach { state.located(it, location) }
        }
        syncedStatus = status
        queuedStatus = status
        events.event("history-loaded", "entries" to state.size, "bytes" to bytes, "standing" to status)
        writer.start()
        val cut = log.cutSegments
        if (cut.isNotEmpty()) {
            events.event("history-segments-cut", "segments" to cut, "standing" to status)
            // Acknowledged entries are missing, so the daemon is in no group, as after a loss of its disk. What is left
            // of the segments is appended again and replaces them, so that they are not found anew at each start.
            status = HistoryStatus(epoch = 0, isComplete = false)
            cut.forEach { number -> append(state.held.filter { it.location?.segment == number }, emptied = number) {} }
        } else if (isFirstStart && !status.knowsGroup) {
            updateStatus(status.copied())
        }
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

    /** Makes this voter complete once that is on disk, unless the group or the log's status has changed until then. */
    fun completeCopy() {
        val copied = status.copied()
        writeStatus(copied) { if (status.epoch == copied.epoch && queuedStatus == copied) updateStatus(copied) }
    }

    private fun writeStatus(next: HistoryStatus, onSynced: () -> Unit) {
        queuedStatus = next
        writer.add(
            PendingWrite(listOf(HistoryEntry(status = next))) { locations ->
                if (locations != null) {
                    syncedStatus = next
                    onSynced()
                }
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
            is HistoryRequest.Reserve -> {
                val entries = listOf(HistoryEntry(tokens = request.entry))
                store(entries, HistoryBudget.NEARLY_FULL, reply) {
                    reader.reserved(request.entry.program, status)
                }
            }
            is HistoryRequest.Finish -> {
                val entries = listOfNotNull(
                    request.tokens?.let { HistoryEntry(tokens = it) },
                    request.turn?.let { HistoryEntry(turn = it) },
                )
                store(entries, maxShare = 1.0, reply) { HistoryReply.Finished }
            }
            is HistoryRequest.Tokens -> {
                val entries = state.tokens(request.program).entries.toList()
                reply(HistoryReply.Tokens(entries, status.isComplete))
            }
            is HistoryRequest.Chain -> reply(reader.chain(request, status))
            is HistoryRequest.Copy -> {
                if (request.expired == null) copiedUpTo[request.reader] = request.from
                val copied = reader.copy(request, status, request.expired?.let(keeper::needed))
                // The reader counts on the epoch that fences older requests here, so it has to be on disk first.
                append(emptyList()) { isSynced -> reply(if (isSynced) copied else HistoryReply.Incomplete) }
            }
        }
    }

    /** Stores [entries] unless more than [maxShare] of the memory or disk is in use; a refusal leaves no trace. */
    private fun store(
        entries: List<HistoryEntry>,
        maxShare: Double,
        reply: (HistoryReply) -> Unit,
        acknowledgement: () -> HistoryReply,
    ) {
        if (usedShare > maxShare) {
            reply(HistoryReply.Incomplete)
        } else {
            write(entries) { isSynced -> reply(if (isSynced) acknowledgement() else HistoryReply.Incomplete) }
        }
    }

    /** Stores [entries], which may be copied from another replica; [onDone] gets whether they are on disk. */
    fun write(entries: List<HistoryEntry>, onDone: (isSynced: Boolean) -> Unit) =
        // A duplicate is written again unless it is known to be on disk: its first write may fail.
        append(entries.flatMap(state::hold), onDone = onDone)

    private fun append(records: List<HeldRecord>, emptied: Int? = null, onDone: (isSynced: Boolean) -> Unit) {
        val current = status
        val isStatusDue = !isStatusSynced || emptied != null
        if (isStatusDue) queuedStatus = current
        val entries = records.map(state::entryOf) + listOfNotNull(
            HistoryEntry(status = current).takeIf { isStatusDue },
            keeper.keptFor?.takeIf { emptied != null }?.let { HistoryEntry(keptMillis = it.inWholeMilliseconds) },
        )
        writer.add(
            PendingWrite(entries, emptied) { locations ->
                if (locations != null) {
                    records.zip(locations).forEach { (record, location) -> state.located(record, location) }
                    if (isStatusDue) syncedStatus = current
                }
                onDone(locations != null)
            },
        )
    }

    /** Writes a status that could not be written, and frees disk space; called from time to time. */
    fun maintain() {
        if (!isStatusSynced) append(emptyList()) {}
        cleaner.clean()
    }
}
