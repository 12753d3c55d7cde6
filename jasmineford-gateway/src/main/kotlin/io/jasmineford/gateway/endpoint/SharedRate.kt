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
 * @property burst time at the rate whose calls may be sent at once.
 * @property isStale whether the rate may have ended unnoticed, so that every daemon may try a call at times.
 */
data class EndpointRate(val perSecond: Double, val burst: Duration, val isStale: Boolean = false)

/**
 * This daemon's part of the rates that all daemons share at one endpoint.
 *
 * @property share part of the calls that this daemon may send, 0 to 1; the shares of all daemons add up to 1 at most.
 * @property rank rank of this daemon, from 0, in an order of all daemons.
 */
data class RatePart(val share: Double, val rank: Int)

/** Limits the calls that this daemon sends to one endpoint to its part of the rates in force there. */
internal class SharedRateLimiter(private val clock: MonotonicClock) {
    private var permits = emptyList<RatePermits>()

    /** Takes a permit for a call from each of [rates] and returns true, unless one of them has none. */
    fun tryTake(rates: List<EndpointRate>, part: () -> RatePart): Boolean {
        if (rates.size != permits.size) permits = rates.map { RatePermits(clock) }
        val fits = permits.areAvailable(rates, part)
        if (fits) permits.forEach { it.take() }
        return fits
    }

    /** Whether [tryTake] would return true now; changes nothing. */
    fun hasPermit(rates: List<EndpointRate>, part: () -> RatePart): Boolean {
        val copies = if (rates.size == permits.size) permits.map { it.copy() } else rates.map { RatePermits(clock) }
        return copies.areAvailable(rates, part)
    }

    private fun List<RatePermits>.areAvailable(rates: List<EndpointRate>, part: () -> RatePart): Boolean {
        if (isEmpty()) return true
        val own = part()
        forEachIndexed { index, each -> each.accrue(rates[index], own) }
        return all { it.isAvailable }
    }
}

/**
 * Permits for calls, which accrue at a daemon's part of a rate and expire after the burst time.
 *
 * A daemon that starts from an offset of its own, and whose unused permits expire, keeps the sum over all daemons close
 * to the rate however many they are, also when each of them may send a call only every few minutes.
 */
private class RatePermits(private val clock: MonotonicClock) {
    private val accruedAt = ArrayDeque<Duration>()
    private var updatedAt: Duration? = null
    private var fraction = 0.0

    val isAvailable: Boolean get() = accruedAt.isNotEmpty()

    fun take() {
        accruedAt.removeFirst()
    }

    fun copy() = RatePermits(clock).also {
        it.accruedAt.addAll(accruedAt)
        it.updatedAt = updatedAt
        it.fraction = fraction
    }

    /** Adds the permits since the last call at [part] of [rate], and removes the expired ones. */
    fun accrue(rate: EndpointRate, part: RatePart) {
        val now = clock.now()
        val lowest = if (rate.isStale) MIN_RATE else 0.0
        val perSecond = (maxOf(rate.perSecond, MIN_RATE) * part.share).coerceAtLeast(lowest)
        val since = updatedAt ?: now.also { fraction = (part.rank * GOLDEN_RATIO).mod(1.0) }
        updatedAt = now
        val oldest = now - rate.burst
        // Permits that have expired already only move the fraction.
        val expired = perSecond * (oldest - since).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        fraction = (fraction + expired).mod(1.0)
        val start = maxOf(since, oldest)
        val total = fraction + perSecond * (now - start).toDouble(DurationUnit.SECONDS)
        for (number in 1..floor(total).toInt()) accruedAt.addLast(start + ((number - fraction) / perSecond).seconds)
        fraction = total - floor(total)
        while (accruedAt.isNotEmpty() && accruedAt.first() < oldest) accruedAt.removeFirst()
    }

    private companion object {
        /** Multiples of it, less their whole parts, are evenly spread for any number of ranks. */
        const val GOLDEN_RATIO = 0.6180339887498949

        /**
         * Calls per second. An endpoint that takes next to nothing still gets a call at times, whose response tells
         * when that is over.
         */
        const val MIN_RATE = 0.25
    }
}
