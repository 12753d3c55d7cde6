package io.jasmineford.core.endpoint

import io.jasmineford.core.limit.Slice
import io.jasmineford.core.limit.SliceGrant
import io.jasmineford.core.limit.SliceLender
import io.jasmineford.core.limit.SliceSettings
import io.jasmineford.core.limit.WindowSupply
import kotlin.time.Duration

/**
 * Owner's side of one endpoint's concurrency window: lends slots to VMs and adapts the window's size.
 *
 * A borrower may start calls only while its slice is valid, which is never longer than the owner's lease. A slot stays
 * lent until it is returned or no call started on it can still be running. A new owner does not know which slots its
 * predecessor lent. It lends nothing until a load report made after those slices expired shows what is in flight, and
 * counts that as lent.
 *
 * @param startedAt when this VM became the owner; the previous owner's lease has expired by then.
 * @param hasLoadReports whether the endpoint reports its load. Without reports, a new owner lends the cold window at
 *   once.
 */
class WindowOwner(
    private val settings: WindowSettings,
    max: Int,
    private val startedAt: Duration,
    private val hasLoadReports: Boolean = true,
    firstId: Long = 1,
) {
    /** Adaptive window that determines how many slots may be lent. */
    val window = EndpointWindow(settings, max)
    private val supply = WindowSupply(size = 0.0)
    private val lender = SliceLender(
        supply,
        SliceSettings(
            maxValidity = settings.startValidity + settings.maxCallDuration,
            minRetryDelay = settings.retryInterval,
            replyTimeout = settings.replyTimeout,
        ),
        firstId,
    )
    private var inheritedInFlight = if (hasLoadReports) Int.MAX_VALUE else 0

    /** Number of lent slots. */
    val lent: Int get() = lender.lent.toInt()

    /** Lends up to [wanted] slots to [borrower]. [remainingLease] is the remaining validity of this VM's lease. */
    fun borrow(now: Duration, borrower: String, wanted: Int, remainingLease: Duration): SliceGrant {
        val validity = minOf(settings.startValidity, remainingLease)
        if (!validity.isPositive()) return SliceGrant(slice = null, retryAfter = settings.retryInterval)
        refresh(now)
        // Slices are small, so that one long call does not keep many idle slots from other VMs.
        val most = (window.size / SLICES_OF_WINDOW).coerceAtLeast(1)
        val grant = lender.borrow(now, borrower, minOf(wanted, most).toDouble(), Duration.INFINITE)
        return grant.copy(slice = grant.slice?.copy(validity = validity))
    }

    /** Extends the time in which calls may start on slice [id]; null when the slice has ended or the window shrank. */
    fun extend(now: Duration, id: Long, remainingLease: Duration): Slice? {
        refresh(now)
        val validity = minOf(settings.startValidity, remainingLease)
        if (!validity.isPositive() || lender.lent > supply.size) return null
        lender.extend(now, id, Duration.INFINITE) ?: return null
        return Slice(id, units = 0.0, validity = validity)
    }

    /** Takes slice [id] back, none of whose slots is in use. */
    fun returnSlice(now: Duration, id: Long) = lender.returnSlice(now, id, unused = 0.0)

    /** Adapts the window to an answer of the endpoint to any VM. */
    fun answered(sample: AnswerSample) = window.answered(sample)

    /** Handles a load report that was read at [now] and may be up to [WindowSettings.reportLag] old. */
    fun loadReported(now: Duration, inFlight: Int) {
        refresh(now)
        val isAfterPreviousOwner = now - settings.reportLag >= startedAt + settings.dispatchMargin
        if (isAfterPreviousOwner && inheritedInFlight > 0) inheritedInFlight = minOf(inheritedInFlight, inFlight)
        if (inheritedInFlight == 0) window.loadReported(inFlight, lent)
    }

    private fun refresh(now: Duration) {
        if (now >= startedAt + settings.dispatchMargin + settings.maxCallDuration) inheritedInFlight = 0
        supply.size = (window.size.toLong() - inheritedInFlight).coerceAtLeast(0).toDouble()
        lender.advance(now)
    }

    private companion object {
        const val SLICES_OF_WINDOW = 8
    }
}
