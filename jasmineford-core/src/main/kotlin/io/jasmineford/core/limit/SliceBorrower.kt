package io.jasmineford.core.limit

import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A message that a borrower asks its driver to send to the owner of the quantity. */
sealed interface SliceMessage {
    /** Request for up to [units]; the reply goes to [SliceBorrower.onGrant] with this message. */
    data class Borrow(val number: Long, val units: Double, val demandPerSecond: Double) : SliceMessage

    /** End of slice [id] with [unused] units. Has no reply; a lost one costs the owner the slice's validity. */
    data class Return(val id: Long, val unused: Double) : SliceMessage
}

/**
 * Borrower's side of one quantity on one VM.
 *
 * [poll] asks ahead of need by the estimated demand and returns what is used up or idle. Units may be used only until
 * their slice's validity has passed, counted on this VM's clock from before the request was sent.
 *
 * @param isReusable true for a window: a unit goes back with [release] and can be taken again; a slice is returned when
 *   none of its units is in use. False for a bucket: a unit is used once.
 */
class SliceBorrower(
    private val settings: SliceSettings,
    private val isReusable: Boolean = false,
) {
    private val held = ArrayDeque<Held>()
    private val demand = DemandEstimate(settings.lookahead * MEMORY_FACTOR)
    private val sentAt = HashMap<Long, Duration>()
    private var awaited: Long? = null
    private var nextRequest = Duration.ZERO
    private var number = 0L
    private var unmet = 0
    private var unmetBefore = 0

    /** Units that may be taken at [now]. */
    fun available(now: Duration): Double = held.filter { now < it.endsAt }.sumOf { it.left }

    /** Whether nothing is held, wanted or outstanding, so that this borrower can be dropped. */
    fun isIdle(now: Duration): Boolean =
        held.isEmpty() && sentAt.isEmpty() && maxOf(unmet, unmetBefore) == 0 && demand.perSecond(now) < NEGLIGIBLE_DEMAND

    /** Takes one unit and returns its slice's id; null when there is none. */
    fun tryTake(now: Duration): Long? {
        val slice = held.filter { now < it.endsAt && it.left >= 1.0 }.minByOrNull { it.endsAt }
        if (slice == null) {
            unmet++
            return null
        }
        demand.add(now)
        slice.left -= 1.0
        slice.inUse += if (isReusable) 1 else 0
        slice.usedAt = now
        return slice.id
    }

    /** Frees a unit of slice [id] of a window. */
    fun release(now: Duration, id: Long) {
        val slice = held.firstOrNull { it.id == id } ?: return
        slice.left += 1.0
        slice.inUse--
        slice.usedAt = now
    }

    /** Messages that are due. Requests that wait are those that [tryTake] refused since the poll before the last one. */
    fun poll(now: Duration): List<SliceMessage> = buildList {
        val waiting = maxOf(unmet, unmetBefore)
        unmetBefore = unmet
        unmet = 0
        held.removeAll { now >= it.endsAt && it.inUse == 0 }
        val ahead = aheadOfNeed(now)
        val finished = held.filter { isFinished(it, now) }
        held.removeAll(finished)
        finished.mapTo(this) { SliceMessage.Return(it.id, it.left) }
        sentAt.values.removeAll { now - it > settings.valid }
        if (awaited?.let { sentAt[it] }?.let { now - it <= settings.patience } != true) awaited = null
        val missing = waiting + ahead - available(now)
        if (missing >= 1.0 && awaited == null && now >= nextRequest) {
            val request = SliceMessage.Borrow(++number, missing, demand.perSecond(now))
            awaited = number
            sentAt[number] = now
            add(request)
        }
    }

    /** Takes the reply to [request], which may come late; null when there is none. */
    fun onGrant(now: Duration, request: SliceMessage.Borrow, grant: SliceGrant?) {
        val sent = sentAt.remove(request.number) ?: return
        if (awaited == request.number) {
            awaited = null
            nextRequest = now + (grant?.retryAfter ?: settings.minRetry)
        }
        val slice = grant?.slice ?: return
        held += Held(slice.id, slice.units, endsAt = sent + slice.valid, usedAt = now)
    }

    /** Lets the next [poll] ask at once, for a change of owner. Slices of the old owner stay usable for their time. */
    fun ownerChanged() {
        awaited = null
        nextRequest = Duration.ZERO
    }

    private fun aheadOfNeed(now: Duration): Int {
        val expected = demand.perSecond(now) * settings.lookahead.toDouble(DurationUnit.SECONDS)
        return if (expected < LEAST_AHEAD) 0 else ceil(expected).toInt()
    }

    private fun isFinished(slice: Held, now: Duration): Boolean = when {
        slice.inUse > 0 -> false
        slice.left < 1.0 -> true
        else -> now - slice.usedAt >= settings.idleReturn
    }

    private class Held(val id: Long, var left: Double, val endsAt: Duration, var usedAt: Duration, var inUse: Int = 0)

    private companion object {
        /** Requests expected in the lookahead below which a slice ahead of need would mostly be returned unused. */
        const val LEAST_AHEAD = 0.5
        const val NEGLIGIBLE_DEMAND = 0.01

        /** Memory of the demand in lookaheads: longer, so that the estimate doesn't swing with single arrivals. */
        const val MEMORY_FACTOR = 5.0
    }
}
