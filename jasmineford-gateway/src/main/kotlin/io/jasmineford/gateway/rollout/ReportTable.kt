package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Latest reports by process. Counts are cumulative and kept after the process has ended, so a lost datagram costs
 * nothing, and calls that were sent stay counted.
 */
internal class ReportTable {
    private class Entry(val report: RolloutReport, val isRelayed: Boolean, val changedAt: Duration)

    private val entries = HashMap<Pair<String, Int>, Entry>()
    private val completeAt = HashMap<String, Duration>()

    /** Applies [report]; [isRelayed] tells whether this daemon relays for the process. */
    fun apply(report: RolloutReport, isRelayed: Boolean, now: Duration) {
        val key = report.service to report.process
        val known = entries[key]
        val isNewer = known == null || report.sequence > known.report.sequence || report.opened != known.report.opened
        if (isNewer || (isRelayed && !known.isRelayed)) entries[key] = Entry(report, isRelayed, now)
    }

    /** Reports of all processes on the order [opened] of [service], by process. */
    fun of(service: String, opened: Long): Map<Int, RolloutReport> = entries.values.map { it.report }
        .filter { it.service == service && it.opened == opened }.associateBy { it.process }

    /** Relayed reports to send to [receiver]: those that changed recently, and from time to time all. */
    fun dueFor(receiver: String, now: Duration): List<RolloutReport> {
        val isComplete = now - (completeAt[receiver] ?: -Duration.INFINITE) > COMPLETE_PERIOD
        if (isComplete) completeAt[receiver] = now
        return entries.values
            .filter { it.isRelayed && (isComplete || now - it.changedAt < REPEAT_TIME) }
            .sortedByDescending { it.changedAt }.take(MAX_REPORTS).map { it.report }
    }

    /** Removes the reports on services for which [isOpen] is false. */
    fun retain(isOpen: (String) -> Boolean) {
        entries.keys.removeIf { !isOpen(it.first) }
    }

    private companion object {
        /** A changed report is repeated in a few heartbeats, since single ones may be lost. */
        val REPEAT_TIME = 500.milliseconds
        val COMPLETE_PERIOD = 1000.milliseconds

        /** Reports in one heartbeat, which then stays below the size of a datagram. */
        const val MAX_REPORTS = 120
    }
}
