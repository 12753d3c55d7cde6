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

    /** Number of objects that hold the permits. */
    val heldRuns: Int get() = permits.sumOf { it.runCount }

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
 *
 * Permits are kept as runs, one for each call of [accrue] at most: a rate may be any number that an endpoint names, and
 * memory and time must not grow with it.
 */
private class RatePermits(private val clock: MonotonicClock) {
    private val runs = ArrayDeque<PermitRun>()
    private var updatedAt: Duration? = null
    private var fraction = 0.0

    val isAvailable: Boolean get() = runs.isNotEmpty()
    val runCount: Int get() = runs.size

    fun take() {
        val run = runs.removeFirst().afterFirst()
        if (!run.isEmpty) runs.addFirst(run)
    }

    fun copy() = RatePermits(clock).also {
        it.runs.addAll(runs)
        it.updatedAt = updatedAt
        it.fraction = fraction
    }

    /** Adds the permits since the last call at [part] of [rate], and removes the expired ones. */
    fun accrue(rate: EndpointRate, part: RatePart) {
        val now = clock.now()
        val lowest = if (rate.isStale) MIN_RATE else 0.0
        val perSecond = (rate.perSecond.coerceIn(MIN_RATE, MAX_RATE) * part.share).coerceAtLeast(lowest)
        val since = updatedAt ?: now.also { fraction = (part.rank * GOLDEN_RATIO).mod(1.0) }
        updatedAt = now
        val oldest = now - rate.burst
        // Permits that have expired already only move the fraction.
        val expired = perSecond * (oldest - since).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
        fraction = (fraction + expired).mod(1.0)
        val start = maxOf(since, oldest)
        val total = fraction + perSecond * (now - start).toDouble(DurationUnit.SECONDS)
        val accrued = PermitRun(start, fraction, perSecond, first = 1, last = floor(total).toLong())
        if (!accrued.isEmpty) runs.addLast(accrued)
        fraction = total - floor(total)
        removeBefore(oldest)
    }

    private fun removeBefore(oldest: Duration) {
        var run = runs.firstOrNull()
        while (run != null && run.accruedAt(run.first) < oldest) {
            runs.removeFirst()
            val rest = run.from(oldest)
            if (!rest.isEmpty) runs.addFirst(rest)
            run = runs.firstOrNull()
        }
    }

    private companion object {
        /** Multiples of it, less their whole parts, are evenly spread for any number of ranks. */
        const val GOLDEN_RATIO = 0.6180339887498949

        /**
         * Calls per second. An endpoint that takes next to nothing still gets a call at times, whose response tells
         * when that is over.
         */
        const val MIN_RATE = 0.25

        /** Calls per second: one in each unit of the clock. */
        const val MAX_RATE = 1e9
    }
}

/**
 * Permits that accrue at an even rate from [start] on, with the numbers [first] to [last].
 *
 * @property fraction part of the permit with number 1 that had accrued at [start].
 */
private data class PermitRun(
    val start: Duration,
    val fraction: Double,
    val perSecond: Double,
    val first: Long,
    val last: Long,
) {
    val isEmpty: Boolean get() = first > last

    /** Time at which the permit with [number] accrues. */
    fun accruedAt(number: Long): Duration = start + ((number - fraction) / perSecond).seconds

    /** The permits but for the first one. */
    fun afterFirst() = copy(first = first + 1)

    /** The permits that accrue at [oldest] or later. */
    fun from(oldest: Duration): PermitRun {
        val before = floor(fraction + perSecond * (oldest - start).toDouble(DurationUnit.SECONDS)).toLong()
        // The number is computed rather than counted; rounding may put it at a permit too far.
        var next = (before - 1).coerceIn(first, last + 1)
        while (next <= last && accruedAt(next) < oldest) next++
        return copy(first = next)
    }
}
