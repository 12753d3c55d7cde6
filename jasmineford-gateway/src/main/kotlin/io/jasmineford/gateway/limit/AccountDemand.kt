package io.jasmineford.gateway.limit

import io.jasmineford.core.limit.DemandEstimate
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Arrival rate of one client account's calls, in calls per second, at this daemon and at the other ones. */
internal class AccountDemand(private val clock: MonotonicClock) {
    private class PeerRate(val perSecond: Double, val at: Duration, val coversAll: Boolean)

    private val peerRates = HashMap<UsageSource, PeerRate>()
    private val arrivals = DemandEstimate(AVERAGING_TIME)

    /** Calls per second at this daemon. */
    val local: Double get() = arrivals.perSecond(clock.now())

    /** Sum of the calls per second that [sources] reported, of those whose latest report is still valid. */
    fun atPeers(sources: (UsageSource) -> Boolean = { true }): Double {
        val now = clock.now()
        return peerRates.entries.sumOf { (source, report) ->
            if (now - report.at < PEER_RATE_LIFETIME && sources(source)) report.perSecond else 0.0
        }
    }

    /** Counts a call that arrives now. */
    fun recordCall() = arrivals.add(clock.now())

    /**
     * Records that [from] reports an arrival rate of [perSecond] calls per second; with [coversAll] it is that at all
     * other daemons, which takes the place of every other report.
     */
    fun recordPeerRate(from: UsageSource, perSecond: Double, coversAll: Boolean) {
        peerRates.entries.removeIf { it.key != from && (coversAll || it.value.coversAll) }
        peerRates[from] = PeerRate(perSecond, clock.now(), coversAll)
    }

    private companion object {
        /** Time constant of the averaged arrival rate. */
        val AVERAGING_TIME = 1.seconds

        /** Age at which a daemon's report expires. */
        val PEER_RATE_LIFETIME = 1500.milliseconds
    }
}
