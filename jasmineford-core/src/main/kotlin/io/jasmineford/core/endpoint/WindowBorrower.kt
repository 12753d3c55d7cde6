package io.jasmineford.core.endpoint

import io.jasmineford.core.limit.SliceGrant
import kotlin.time.Duration

/** A message to the owner of an endpoint's window. */
sealed interface WindowMessage {
    /** Request for up to [slots]; the reply goes to [WindowBorrower.granted]. */
    data class Borrow(val number: Long, val slots: Int) : WindowMessage

    /** Request to extend the time in which calls may start on [slice]; the reply goes to [WindowBorrower.extended]. */
    data class Extend(val slice: Long) : WindowMessage

    /** Return of [slice]. Repeated until the owner's confirmation is passed to [WindowBorrower.returned]. */
    data class Return(val slice: Long) : WindowMessage
}

/** Borrower's side of one endpoint's window on one VM. */
class WindowBorrower(private val settings: WindowSettings) {
    private val held = LinkedHashMap<Long, HeldSlice>()
    private val returning = LinkedHashMap<Long, Duration>()
    private val sentAt = HashMap<Long, Duration>()
    private var number = 0L
    private var nextBorrow = Duration.ZERO

    /** Number of slots in use, plus free slots on which a call may start at [now]. */
    fun slots(now: Duration): Int = held.values.sumOf { it.inUse + it.free(now) }

    /** Takes a slot for a call that starts now and returns the slot's slice id; null when no slot is free. */
    fun take(now: Duration): Long? {
        val slice = held.values.firstOrNull { it.free(now) > 0 } ?: return null
        slice.inUse++
        return slice.id
    }

    /** Frees a slot of [slice] once its call has ended at the endpoint. */
    fun release(now: Duration, slice: Long) {
        val entry = held[slice] ?: return
        entry.inUse--
        entry.usedAt = now
    }

    /** Returns the messages that are due. [waiting] is the number of calls waiting for a slot. */
    fun poll(now: Duration, waiting: Int): List<WindowMessage> = buildList {
        for (slice in held.values.filter { it.inUse == 0 && it.isReturnable(now, waiting) }) {
            held.remove(slice.id)
            returning[slice.id] = Duration.ZERO
        }
        for (id in returning.keys.filter { now >= returning.getValue(it) }) {
            returning[id] = now + settings.replyTimeout
            add(WindowMessage.Return(id))
        }
        val expiring = held.values.filter { it.endsAt - now < settings.startValidity / 2 && now >= it.nextExtend }
        for (slice in expiring.filter { waiting > 0 || it.inUse > 0 }) {
            slice.nextExtend = now + settings.replyTimeout
            slice.extendSentAt = now
            add(WindowMessage.Extend(slice.id))
        }
        val missing = waiting - held.values.sumOf { it.free(now) }
        if (missing > 0 && now >= nextBorrow) {
            nextBorrow = now + settings.replyTimeout
            sentAt[++number] = now
            add(WindowMessage.Borrow(number, missing))
        }
    }

    /** Handles the reply to request [number], which may be late; [grant] is null when there is none. */
    fun granted(now: Duration, number: Long, grant: SliceGrant?) {
        val sent = sentAt.remove(number) ?: return
        if (number == this.number) nextBorrow = if (grant?.slice != null) now else now + settings.retryInterval
        val slice = grant?.slice ?: return
        held[slice.id] = HeldSlice(slice.id, slice.units.toInt(), endsAt = sent + slice.validity, usedAt = now)
    }

    /** Handles the reply to [WindowMessage.Extend]; [validity] is null when the owner refused. */
    fun extended(slice: Long, validity: Duration?) {
        val entry = held[slice] ?: return
        if (validity != null) entry.endsAt = maxOf(entry.endsAt, entry.extendSentAt + validity)
    }

    /** Handles the owner's confirmation that [slice] was returned. */
    fun returned(slice: Long) {
        returning.remove(slice)
    }

    /** Expires the slices of the previous owner. Running calls continue; the new owner sees them in load reports. */
    fun ownerChanged() {
        held.values.forEach { it.endsAt = Duration.ZERO }
        returning.clear()
        nextBorrow = Duration.ZERO
    }

    private inner class HeldSlice(val id: Long, val units: Int, var endsAt: Duration, var usedAt: Duration) {
        var inUse = 0
        var nextExtend = Duration.ZERO
        var extendSentAt = Duration.ZERO

        fun free(now: Duration) = if (now < endsAt) units - inUse else 0

        fun isReturnable(now: Duration, waiting: Int) =
            now >= endsAt || waiting == 0 && now - usedAt >= settings.idleTimeout
    }
}
