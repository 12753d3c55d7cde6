package io.jasmineford.core.limit

import kotlin.time.Duration

/**
 * Owner's side of one shared quantity: lends whole units to VMs for a limited time.
 *
 * The units of a slice count as lent until the slice is returned or expires on the owner's clock. The borrower counts
 * the same time from before its request, so the slice always expires at the borrower first. Waiting borrowers are
 * served in order of arrival.
 *
 * @param firstId id of the first slice; a new owner must not reuse ids of a previous owner.
 */
class SliceLender(
    private val supply: SliceSupply,
    private val settings: SliceSettings,
    firstId: Long = 1,
) {
    private val slices = LinkedHashMap<Long, LentSlice>()
    private val waiting = LinkedHashMap<String, Duration>()
    private var nextId = firstId

    /** Units in slices that are neither returned nor expired. */
    var lent: Double = 0.0
        private set

    /**
     * Lends up to [wanted] units to [borrower].
     *
     * @param remainingLease remaining validity of the owner's lease; no slice is valid for longer.
     */
    fun borrow(now: Duration, borrower: String, wanted: Double, remainingLease: Duration): SliceGrant {
        advance(now)
        val validity = minOf(settings.maxValidity, remainingLease)
        if (!validity.isPositive()) return SliceGrant(slice = null, retryAfter = settings.minRetryDelay)
        val units = minOf(wanted, supply.available(lent) - reservedBefore(borrower)).wholeUnits()
        if (units < 1.0) {
            waiting[borrower] = now
            return SliceGrant(slice = null, retryAfter = retryAfter(reservedBefore(borrower) + 1.0))
        }
        waiting.remove(borrower)
        val slice = LentSlice(units, endsAt = now + validity * CLOCK_RATE_ALLOWANCE)
        slices[nextId] = slice
        supply.lend(units)
        lent += units
        val retryAfter = if (units < wanted.wholeUnits()) retryAfter(reservedBefore(borrower) + 1.0) else Duration.ZERO
        return SliceGrant(Slice(nextId++, units, validity), retryAfter)
    }

    /** Takes slice [id] back with [unused] units. Unknown and expired slices are ignored. */
    fun returnSlice(now: Duration, id: Long, unused: Double) {
        advance(now)
        val slice = slices.remove(id) ?: return
        lent -= slice.units
        supply.returnUnused(unused.coerceIn(0.0, slice.units))
    }

    /**
     * Renews slice [id] for a full validity from [now] and returns that validity; null when the slice has ended. Used
     * for windows, where a running call keeps its slot. The borrower counts from before it sent the request.
     */
    fun extend(now: Duration, id: Long, remainingLease: Duration): Duration? {
        advance(now)
        val slice = slices.remove(id) ?: return null
        val validity = minOf(settings.maxValidity, remainingLease)
        slices[id] = slice.copy(endsAt = maxOf(slice.endsAt, now + validity * CLOCK_RATE_ALLOWANCE))
        return validity.takeIf { it.isPositive() }
    }

    /** Expires slices at [now]; their units count as used. */
    fun advance(now: Duration) {
        supply.advance(now, lent)
        val ended = slices.entries.filter { it.value.endsAt <= now }
        ended.forEach {
            slices.remove(it.key)
            lent -= it.value.units
        }
        if (slices.isEmpty()) lent = 0.0
        waiting.values.removeAll { now - it > settings.replyTimeout }
    }

    /** Units reserved for borrowers that have waited longer than [borrower], one for each. */
    private fun reservedBefore(borrower: String): Double = waiting.keys.takeWhile { it != borrower }.size.toDouble()

    private fun retryAfter(units: Double): Duration =
        supply.timeUntil(units, lent).coerceIn(settings.minRetryDelay, settings.replyTimeout / 2)

    private data class LentSlice(val units: Double, val endsAt: Duration)
}

private fun Double.wholeUnits(): Double = kotlin.math.floor(this + ROUNDING)

/** Tolerance for rounding errors in sums of token fractions; far below one request. */
private const val ROUNDING = 1e-9

/** Allowance for clock drift: monotonic clocks of two VMs differ in rate by less than 1 in 1,000. */
private const val CLOCK_RATE_ALLOWANCE = 1.001
