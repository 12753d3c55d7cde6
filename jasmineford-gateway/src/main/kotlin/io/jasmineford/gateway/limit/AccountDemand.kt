package io.jasmineford.gateway.limit

import io.jasmineford.core.limit.DemandEstimate
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Calls a second that one account offers, here and at the other daemons. */
internal class AccountDemand(private val clock: MonotonicClock) {
    private val heard = HashMap<String, Pair<Double, Duration>>()
    private val arrivals = DemandEstimate(MEMORY)

    /** Calls a second at this daemon. */
    val own: Double get() = arrivals.perSecond(clock.now())

    /** Calls a second at the daemons that were heard lately. */
    fun others(): Double {
        val now = clock.now()
        return heard.values.sumOf { (rate, at) -> if (now - at < VALID) rate else 0.0 }
    }

    /** Counts a call. */
    fun note() = arrivals.add(clock.now())

    /** Daemon [from] is offered [perSecond] calls. */
    fun hear(from: String, perSecond: Double) {
        heard[from] = perSecond to clock.now()
    }

    private companion object {
        /** Time over which demand is averaged. */
        val MEMORY = 1.seconds

        /** Demand of a daemon that was not heard for longer is forgotten. */
        val VALID = 1500.milliseconds
    }
}
