package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Limits how often daemons that are not relays, which are many, exchange rollouts with their relays. */
internal class SendPace {
    private val sentAt = HashMap<String, Duration>()
    private var sequences: List<Long> = emptyList()
    private var countedAt = -Duration.INFINITE
    private var phaseAt = -Duration.INFINITE

    /** Records that a phase changed at [now]. */
    fun phaseChanged(now: Duration) {
        phaseAt = now
    }

    /** Whether [receiver], for which this daemon relays, is to be told the states of rollouts again. */
    fun isStateDue(receiver: String, now: Duration): Boolean = isDue(receiver, phaseAt, STATE_PERIOD, now)

    /** Whether [reports] of this process are to be sent to its relay [receiver] again. */
    fun isReportDue(receiver: String, reports: List<RolloutReport>, now: Duration): Boolean {
        val latest = reports.map { it.sequence }
        if (latest != sequences) countedAt = now
        sequences = latest
        return isDue(receiver, maxOf(phaseAt, countedAt), REPORT_PERIOD, now)
    }

    private fun isDue(receiver: String, changedAt: Duration, period: Duration, now: Duration): Boolean {
        val isDue = now - changedAt < REPEAT_TIME || now - (sentAt[receiver] ?: -Duration.INFINITE) >= period
        if (isDue) sentAt[receiver] = now
        return isDue
    }

    private companion object {
        /** A change is sent in two heartbeats, since single ones may be lost. */
        val REPEAT_TIME = 300.milliseconds

        /** Several times shorter than the age up to which a confirmation holds. */
        val STATE_PERIOD = 400.milliseconds
        val REPORT_PERIOD = 1000.milliseconds
    }
}
