package io.jasmineford.gateway.endpoint

import io.jasmineford.core.limit.DemandEstimate
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The entry daemons between which the rates at endpoints are divided.
 *
 * @property count number of registered daemons, this one included.
 * @property heardFraction part of the daemons that this one hears, itself included, 0 to 1.
 */
data class SendingFleet(val count: Int, val heardFraction: Double)

/**
 * Calls that arrive for each service, here and at the other daemons, and the share of this daemon in them.
 *
 * Shares follow the calls, as callers use some daemons more than others. They are smoothed over a longer time than
 * reports take, so that the shares of all daemons add up to little more than 1 while calls move from one to another.
 * Daemons that are not heard keep an even share. Until reports can have arrived, shares are even.
 *
 * @param atPeers calls per second for a service at the other daemons, as they report.
 */
class ServiceDemand(private val clock: MonotonicClock, private val atPeers: (service: String) -> Double) {
    private val arrivals = HashMap<String, DemandEstimate>()
    private val reportedSince = HashMap<String, Duration>()

    /** Counts a call that arrives for [service]. */
    fun recordCall(service: String) =
        arrivals.getOrPut(service) { DemandEstimate(AVERAGING_TIME) }.add(clock.now())

    /** Calls per second that arrive here for [service]. */
    fun local(service: String): Double = arrivals[service]?.perSecond(clock.now()) ?: 0.0

    /** Records the [services] whose demand is reported from now on, until the next call. */
    fun setReported(services: Set<String>) {
        reportedSince.keys.retainAll(services)
        services.forEach { reportedSince.getOrPut(it) { clock.now() } }
    }

    /** Share of this daemon in the rates at the endpoints of [service], 0 to 1. */
    fun share(service: String, fleet: SendingFleet): Double {
        val count = fleet.count.coerceAtLeast(1)
        val since = reportedSince[service]
        if (since == null || clock.now() - since < REPORT_TIME) return 1.0 / count
        val own = local(service) + MIN_DEMAND
        return own / (own + atPeers(service) + MIN_DEMAND * (count - 1)) * fleet.heardFraction
    }

    private companion object {
        /** Time constant of the averaged arrival rate; several times the delay of reports. */
        val AVERAGING_TIME = 2.seconds

        /** Time after which the other daemons' demand is known here and this daemon's to them. */
        val REPORT_TIME = 1.seconds

        /** Calls per second that each daemon is taken to have at least: an idle daemon keeps a share. */
        const val MIN_DEMAND = 0.1
    }
}
