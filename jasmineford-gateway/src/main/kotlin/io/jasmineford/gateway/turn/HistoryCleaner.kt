package io.jasmineford.gateway.turn

import io.jasmineford.gateway.log.EventLog
import java.io.IOException

/**
 * Frees disk space: appends the entries of a mostly unneeded segment of [log] again and then removes the segment. It
 * does so in pieces, so that acknowledgements wait for one piece at most.
 *
 * @param rewrite appends records again, and then removes the segment whose number is given; the last argument gets
 * whether the records are on disk.
 */
internal class HistoryCleaner(
    private val state: HistoryState,
    private val log: HistoryLog,
    private val events: EventLog,
    private val rewrite: (List<HeldRecord>, emptied: Int?, onDone: (Boolean) -> Unit) -> Unit,
) {
    private var isRunning = false

    /** Starts to empty the segments of whose bytes at most half are needed, one after the other. */
    fun clean() {
        val segments = log.closedSegments
        if (isRunning || segments.isEmpty()) return
        val needed = HashMap<Int, Long>()
        state.held.forEach { record -> record.location?.let { needed.merge(it.segment, it.diskBytes, Long::plus) } }
        val (number, share) = segments
            .map { (number, bytes) -> number to (needed[number] ?: 0) / bytes.coerceAtLeast(1).toDouble() }
            .minBy { it.second }
        if (share > MAX_NEEDED_SHARE) return
        isRunning = true
        next(number)
    }

    private fun next(segment: Int) {
        val records = piece(state.held.filter { it.location?.segment == segment })
        if (records.isEmpty()) {
            remove(segment)
        } else {
            rewriteReadable(segment, records)
        }
    }

    /** A segment that can't be read remains as it is. */
    private fun rewriteReadable(segment: Int, records: List<HeldRecord>) = try {
        rewrite(records, null) { isSynced -> if (isSynced) next(segment) else isRunning = false }
    } catch (e: IOException) {
        events.event("history-segment-unreadable", "segment" to segment, "reason" to e.message)
        isRunning = false
    }

    /** A record that replaced one of [segment] may not be on disk yet if its write failed. */
    private fun remove(segment: Int) {
        val unwritten = state.held.filter { it.location == null }
        rewrite(unwritten, segment) { isSynced ->
            isRunning = false
            if (isSynced) clean()
        }
    }

    private fun piece(records: List<HeldRecord>): List<HeldRecord> {
        var bytes = 0L
        return records.takeWhile { record ->
            val isFirst = bytes == 0L
            bytes += record.location?.diskBytes ?: 0
            isFirst || bytes <= PIECE_BYTES
        }
    }

    private companion object {
        const val MAX_NEEDED_SHARE = 0.5
        const val PIECE_BYTES = 128L * 1024
    }
}
