package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.MonotonicClock
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a daemon knows of the rate that an endpoint names, as told to the other daemons.
 *
 * @property perSecond calls per second; null when the endpoint names no rate any more.
 * @property version grows with each observation that is told; the highest one is the latest.
 */
@Serializable
data class RateReport(
    @SerialName("e") val endpoint: String,
    @SerialName("r") val perSecond: Double? = null,
    @SerialName("v") val version: Long,
)

/**
 * Rate of calls that an endpoint takes from all daemons together, as its responses name it to any of them.
 *
 * A daemon counts the version up when a response tells something new, and at times when responses confirm the rate. Of
 * reports with the same version the lower rate holds; a wrong one is corrected by the next response.
 */
class NamedRate(private val endpoint: String, private val clock: MonotonicClock) {
    /** Calls per second; null while the endpoint names no rate. */
    var perSecond: Double? = null
        private set
    private var version = 0L
    private var namedAt = -Duration.INFINITE

    /** Time of the latest observation by any daemon that was new here; -[Duration.INFINITE] when there is none. */
    var updatedAt: Duration = -Duration.INFINITE
        private set

    /** Whether no daemon has confirmed the rate for so long that its end may have been missed here. */
    val isStale: Boolean get() = clock.now() - updatedAt > STALE_AFTER

    /** Records that a response names [rate]; returns whether that is a change. */
    fun record(rate: Double): Boolean {
        namedAt = clock.now()
        val isChange = perSecond != rate
        if (isChange || namedAt - updatedAt >= CONFIRMATION_PERIOD) advance(rate, version + 1)
        return isChange
    }

    /**
     * Records a response without a rate to a request that was sent at [sentAt]; returns whether that is a change. It
     * ends the limit only if the request was sent after the last response that named one, as responses on different
     * connections may overtake each other.
     */
    fun recordNone(sentAt: Duration): Boolean {
        val isChange = perSecond != null && sentAt > namedAt
        if (isChange) advance(null, version + 1)
        return isChange
    }

    /** Applies what another daemon reports, unless it is no rate; returns whether that is a change. */
    fun merge(report: RateReport): Boolean {
        val rate = report.perSecond
        if (rate != null && !isRate(rate)) return false
        val before = perSecond
        val isLower = rate != null && (before == null || rate < before)
        if (report.version > version || (report.version == version && isLower)) advance(rate, report.version)
        return perSecond != before
    }

    /** Report for the other daemons. */
    fun report() = RateReport(endpoint, perSecond, version)

    private fun advance(rate: Double?, next: Long) {
        perSecond = rate
        version = next
        updatedAt = clock.now()
    }

    companion object {
        /** Whether [perSecond] can be a rate: finite, of any size, and not negative. */
        fun isRate(perSecond: Double): Boolean = perSecond.isFinite() && perSecond >= 0

        /** Time after which a response that names the known rate is told to the other daemons again. */
        private val CONFIRMATION_PERIOD = 10.seconds

        /** Several confirmations are missing. */
        private val STALE_AFTER = 30.seconds
    }
}
