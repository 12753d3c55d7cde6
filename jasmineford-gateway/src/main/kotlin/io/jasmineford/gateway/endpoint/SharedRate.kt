package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.MonotonicClock
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A rate of calls that an endpoint takes from all daemons together.
 *
 * @property perSecond calls per second.
 * @property window longest time span over which the calls may be averaged.
 */
data class EndpointRate(val perSecond: Double, val window: Duration)

/**
 * This daemon's part of the rates that all daemons share at one endpoint.
 *
 * @property share part of the calls that this daemon may send, 0 to 1; the shares of all daemons add up to 1 at most.
 * @property rank rank of this daemon, from 0, in an order of all daemons. Where a share comes to a fraction of a call
 * in a window, the rank decides which daemons may send one, so that no daemon has to ask another.
 */
data class RatePart(val share: Double, val rank: Int) {
    /** Rounds [calls], a part of what all daemons may send, so that the sum over all daemons is kept. */
    fun round(calls: Double): Int {
        val offset = rank * GOLDEN_RATIO
        return floor(calls + offset - floor(offset)).toInt()
    }

    private companion object {
        /** Multiples of it, less their whole parts, are evenly spread for any number of ranks. */
        const val GOLDEN_RATIO = 0.6180339887498949
    }
}

/** Limits the calls that this daemon sends to one endpoint to its part of the rates in force there. */
internal class SharedRateLimiter(private val clock: MonotonicClock) {
    private val sent = ArrayDeque<Duration>()

    /** Counts a call and returns true, unless it exceeds [part] of one of [rates]; without rates counts nothing. */
    fun tryTake(rates: List<EndpointRate>, part: () -> RatePart): Boolean {
        if (rates.isEmpty()) return true
        val now = clock.now()
        while (sent.isNotEmpty() && now - sent.first() >= MAX_WINDOW) sent.removeFirst()
        val own = part()
        val fits = rates.all { isWithin(it, own, now) }
        if (fits) sent.addLast(now)
        return fits
    }

    private fun isWithin(rate: EndpointRate, part: RatePart, now: Duration): Boolean {
        // An endpoint that takes next to nothing still gets a call at times, whose response tells when that is over.
        val perSecond = maxOf(rate.perSecond, 1 / rate.window.toDouble(DurationUnit.SECONDS)) * part.share
        // The shortest window with room for a whole call: longer ones would let more calls arrive at once.
        val window = (1 / perSecond).seconds.coerceIn(minOf(MIN_WINDOW, rate.window), rate.window)
        val limit = part.round(perSecond * window.toDouble(DurationUnit.SECONDS))
        return sent.count { now - it < window * JITTER_MARGIN } < limit
    }

    private companion object {
        val MIN_WINDOW = 1.seconds

        /** Network delays vary, so calls may arrive closer together than they were sent. */
        const val JITTER_MARGIN = 1.1

        /** Longer than any window. */
        val MAX_WINDOW = 10.seconds
    }
}
