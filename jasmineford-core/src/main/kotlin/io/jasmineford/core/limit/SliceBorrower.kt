package io.jasmineford.core.limit

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A message from a borrower to the owner of the quantity, sent by the driver. */
sealed interface SliceMessage {
    /** Request for up to [units]; the reply goes to [SliceBorrower.onGrant] with this message. */
    data class Borrow(val number: Long, val units: Double, val demandPerSecond: Double) : SliceMessage

    /** Return of slice [id] with [unused] units. Has no reply; if it is lost, the slice stays lent until it expires. */
    data class Return(val id: Long, val unused: Double) : SliceMessage
}

/**
 * Borrower's side of one shared quantity on one VM.
 *
 * [poll] requests units in advance by the estimated demand, and returns slices that are used up or idle. Units may be
 * used only while their slice is valid, counted on this VM's clock from before the request was sent.
 *
 * @param isReusable true for a window: [release] frees a unit for reuse, and a slice is returned when none of its units
 *   is in use. False for a bucket: each unit is used once.
 */
class SliceBorrower(
    private val settings: SliceSettings,
    private val isReusable: Boolean = false,
) {
    private val held = ArrayDeque<HeldSlice>()
    private val demand = DemandEstimate(settings.lookahead * TIME_CONSTANT_LOOKAHEADS)
    private val sentAt = HashMap<Long, Duration>()
    private var awaitedRequest: Long? = null
    private var nextRequest = Duration.ZERO
    private var number = 0L
    private var refusedSinceLastPoll = 0
    private var refusedBeforeLastPoll = 0

    /** Units that can be taken at [now]. */
    fun available(now: Duration): Double = held.filter { now < it.endsAt }.sumOf { it.left }

    /** Whether nothing is held, requested or in demand, so that this borrower can be discarded. */
    fun isIdle(now: Duration): Boolean =
        held.isEmpty() &&
            sentAt.isEmpty() &&
            maxOf(refusedSinceLastPoll, refusedBeforeLastPoll) == 0 &&
            demand.perSecond(now) < NEGLIGIBLE_DEMAND

    /** Takes one unit and returns the id of its slice; null when no unit is available. */
    fun tryTake(now: Duration): Long? {
        val slice = held.filter { now < it.endsAt && it.left >= 1.0 }.minByOrNull { it.endsAt }
        if (slice == null) {
            refusedSinceLastPoll++
            return null
        }
        demand.add(now)
        slice.left -= 1.0
        slice.inUse += if (isReusable) 1 else 0
        slice.usedAt = now
        return slice.id
    }

    /** Frees one unit of slice [id] for reuse. */
    fun release(now: Duration, id: Long) {
        val slice = held.firstOrNull { it.id == id } ?: return
        slice.left += 1.0
        slice.inUse--
        slice.usedAt = now
    }

    /**
     * Returns the messages that are due. Counts [tryTake] refusals of the last two poll intervals as waiting demand.
     */
    fun poll(now: Duration): List<SliceMessage> = buildList {
        val waiting = maxOf(refusedSinceLastPoll, refusedBeforeLastPoll)
        refusedBeforeLastPoll = refusedSinceLastPoll
        refusedSinceLastPoll = 0
        held.removeAll { now >= it.endsAt && it.inUse == 0 }
        val advance = advanceUnits(now)
        val finished = held.filter { isFinished(it, now) }
        held.removeAll(finished)
        finished.mapTo(this) { SliceMessage.Return(it.id, it.left) }
        sentAt.values.removeAll { now - it > settings.maxValidity }
        if (awaitedRequest?.let { sentAt[it] }?.let { now - it <= settings.replyTimeout } != true) awaitedRequest = null
        val missing = waiting + advance - available(now)
        if (missing >= 1.0 && awaitedRequest == null && now >= nextRequest) {
            val request = SliceMessage.Borrow(++number, missing, demand.perSecond(now))
            awaitedRequest = number
            sentAt[number] = now
            add(request)
        }
    }

    /** Handles the reply to [request], which may be late; [grant] is null when there is none. */
    fun onGrant(now: Duration, request: SliceMessage.Borrow, grant: SliceGrant?) {
        val sent = sentAt.remove(request.number) ?: return
        if (awaitedRequest == request.number) {
            awaitedRequest = null
            nextRequest = now + (grant?.retryAfter ?: settings.minRetryDelay)
        }
        val slice = grant?.slice ?: return
        held += HeldSlice(slice.id, slice.units, endsAt = sent + slice.validity, usedAt = now)
    }

    /**
     * Lets the next [poll] send a request at once to a new owner. Slices of the old owner stay valid until they expire.
     */
    fun ownerChanged() {
        awaitedRequest = null
        nextRequest = Duration.ZERO
    }

    private fun advanceUnits(now: Duration): Int {
        val expected = demand.perSecond(now) * settings.lookahead.toDouble(DurationUnit.SECONDS)
        return if (expected < MIN_ADVANCE_UNITS) 0 else ceil(expected).toInt()
    }

    private fun isFinished(slice: HeldSlice, now: Duration): Boolean = when {
        slice.inUse > 0 -> false
        slice.left < 1.0 -> true
        else -> now - slice.usedAt >= settings.idleTimeout
    }

    private class HeldSlice(val id: Long, var left: Double, val endsAt: Duration, var usedAt: Duration) {
        var inUse = 0
    }

    private companion object {
        /** Expected requests within the lookahead below which units requested in advance would mostly stay unused. */
        const val MIN_ADVANCE_UNITS = 0.5

        /** Requests per second. */
        const val NEGLIGIBLE_DEMAND = 0.01

        /** Time constant of the demand estimate in lookaheads; above 1 so that single arrivals don't dominate it. */
        const val TIME_CONSTANT_LOOKAHEADS = 5.0
    }
}
