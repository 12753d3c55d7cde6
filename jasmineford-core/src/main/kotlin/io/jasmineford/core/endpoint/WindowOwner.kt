package io.jasmineford.core.endpoint

import io.jasmineford.core.limit.Slice
import io.jasmineford.core.limit.SliceGrant
import io.jasmineford.core.limit.SliceLender
import io.jasmineford.core.limit.SliceSettings
import io.jasmineford.core.limit.WindowSupply
import kotlin.time.Duration

/**
 * Owner's side of one endpoint's window: lends slots to VMs and adapts their number.
 *
 * A borrower may start calls only while its slice is valid, which is never longer than the owner's own right. The slot
 * stays lent until it is returned or no call started on it can still run. A new owner knows nothing of the slots that the
 * owner before it lent; it lends nothing until a load report made after those rights ended tells what is in flight, and
 * counts that as taken.
 *
 * @param startedAt when this VM became the owner, after the right of the owner before it ended.
 * @param reports whether the endpoint reports its load. Without reports, a new owner lends the cold window at once.
 */
class WindowOwner(
    private val settings: WindowSettings,
    max: Int,
    private val startedAt: Duration,
    private val reports: Boolean = true,
    firstId: Long = 1,
) {
    /** Adaptive size of the window. */
    val window = EndpointWindow(settings, max)
    private val supply = WindowSupply(size = 0.0)
    private val lender = SliceLender(
        supply,
        SliceSettings(
            valid = settings.startValid + settings.callLimit,
            minRetry = settings.retryEvery,
            patience = settings.patience,
        ),
        firstId,
    )
    private var inherited = if (reports) Int.MAX_VALUE else 0

    /** Slots that are lent. */
    val lent: Int get() = lender.lent.toInt()

    /** Lends up to [wanted] slots to [borrower]. [rightLeft] is the time for which this VM surely stays the owner. */
    fun borrow(now: Duration, borrower: String, wanted: Int, rightLeft: Duration): SliceGrant {
        val valid = minOf(settings.startValid, rightLeft)
        if (!valid.isPositive()) return SliceGrant(slice = null, retryAfter = settings.retryEvery)
        refresh(now)
        // Small slices, so that one long call does not keep many idle slots from the other VMs.
        val most = (window.size / SLICES_OF_WINDOW).coerceAtLeast(1)
        val grant = lender.borrow(now, borrower, minOf(wanted, most).toDouble(), Duration.INFINITE)
        return grant.copy(slice = grant.slice?.copy(valid = valid))
    }

    /** Lets a borrower start calls on slice [id] for longer; null when the slice has ended or the window shrank. */
    fun extend(now: Duration, id: Long, rightLeft: Duration): Slice? {
        refresh(now)
        val valid = minOf(settings.startValid, rightLeft)
        if (!valid.isPositive() || lender.lent > supply.size) return null
        lender.extend(now, id, Duration.INFINITE) ?: return null
        return Slice(id, units = 0.0, valid = valid)
    }

    /** Takes slice [id] back; none of its slots is in use any more. */
    fun giveBack(now: Duration, id: Long) = lender.giveBack(now, id, unused = 0.0)

    /** Takes an answer that the endpoint gave to any VM. */
    fun answered(sample: AnswerSample) = window.answered(sample)

    /** Takes a load report that was read at [now] and may be [WindowSettings.reportLag] old. */
    fun loadReported(now: Duration, inFlight: Int) {
        refresh(now)
        val isAfterRights = now - settings.reportLag >= startedAt + settings.dispatchMargin
        if (isAfterRights && inherited > 0) inherited = minOf(inherited, inFlight)
        if (inherited == 0) window.loadReported(inFlight, lent)
    }

    private fun refresh(now: Duration) {
        if (now >= startedAt + settings.dispatchMargin + settings.callLimit) inherited = 0
        supply.size = (window.size.toLong() - inherited).coerceAtLeast(0).toDouble()
        lender.advance(now)
    }

    private companion object {
        const val SLICES_OF_WINDOW = 8
    }
}
