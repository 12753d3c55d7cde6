package io.jasmineford.gateway.limit

import io.jasmineford.core.limit.DemandEstimate
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Arrival rate of one client account's calls, in calls per second, at this daemon and at the other ones. */
internal class AccountDemand(private val clock: MonotonicClock) {
    private val peerRates = HashMap<String, Pair<Double, Duration>>()
    private val arrivals = DemandEstimate(AVERAGING_TIME)

    /** Calls per second at this daemon. */
    val local: Double get() = arrivals.perSecond(clock.now())

    /** Sum of the calls per second at the other daemons, of those whose latest report is still valid. */
    fun atPeers(): Double {
        val now = clock.now()
        return peerRates.values.sumOf { (rate, at) -> if (now - at < PEER_RATE_LIFETIME) rate else 0.0 }
    }

    /** Counts a call that arrives now. */
    fun recordCall() = arrivals.add(clock.now())

    /** Records that daemon [from] reports an arrival rate of [perSecond] calls per second. */
    fun recordPeerRate(from: String, perSecond: Double) {
        peerRates[from] = perSecond to clock.now()
    }

    private companion object {
        /** Time constant of the averaged arrival rate. */
        val AVERAGING_TIME = 1.seconds

        /** Age at which a daemon's report expires. */
        val PEER_RATE_LIFETIME = 1500.milliseconds
    }
}
