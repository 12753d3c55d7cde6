package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.limit.UnknownUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a daemon that is not a relay knows through its relay of the usage of all others. */
internal class RelayUsage(private val clock: MonotonicClock) {
    private var source: Peer? = null
    private var knownUntil = clock.now()
    private var lost = Duration.ZERO
    private var lostAtRelay = 0L

    /** Number of times that a report was the first one of a relay that this daemon has just begun to use. */
    var changes = 0
        private set

    /** Number of daemons that may be admitting calls as by the latest report; 0 before the first one. */
    var daemons = 0
        private set

    /** Records the latest report of [relay] on the [others]. */
    fun onReport(relay: Peer, others: Int) {
        val report = relay.heartbeat ?: return
        if (relay !== source) {
            changes++
            lost += (clock.now() - knownUntil) * others
            source = relay
        } else {
            lost += (report.lostMillis - lostAtRelay).coerceAtLeast(0).milliseconds
        }
        lostAtRelay = report.lostMillis
        daemons = report.daemons
        // The relay sent the report after the message that it echoes, which may have been long before it arrived.
        knownUntil = maxOf(knownUntil, relay.echoedSentAt ?: knownUntil)
    }

    /**
     * Time for which the usage of the [others] is not known.
     *
     * @param report the relay's latest report; null when there is none that is recent.
     */
    fun unknown(report: Heartbeat?, others: Int): UnknownUsage {
        val age = clock.now() - knownUntil
        val unheard = if (report == null || age > MAX_USUAL_AGE) age * others else Duration.ZERO
        return UnknownUsage(pending = unheard + (report?.unknownMillis ?: 0).milliseconds, lost)
    }

    private companion object {
        /** Age of reports while event loops are on time: a period of heartbeats and a round trip, with a margin. */
        val MAX_USUAL_AGE = 300.milliseconds
    }
}
