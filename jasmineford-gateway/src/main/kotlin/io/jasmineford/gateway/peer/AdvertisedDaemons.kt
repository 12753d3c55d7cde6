package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Entry daemons that callers are sent to.
 *
 * In a large fleet these are the first ones of each zone by capacity, until they have enough of the zone's capacity:
 * fewer daemons with more calls know the load at the endpoints better, and the small ones need no caller's connections.
 * When they are lost, the next ones take their place.
 */
internal class AdvertisedDaemons(private val clock: MonotonicClock) {
    private val toldAt = HashMap<String, Duration>()
    private var told: List<Int> = emptyList()
    private var receivedAt = -Duration.INFINITE

    /** The daemons of each zone to which callers should be sent, out of those that are [serving]. */
    fun select(serving: List<Member>): List<Member> = serving.groupBy { it.zone }.values.flatMap(::firstByCapacity)

    /** Records the short ids that this daemon's relay tells; an empty list tells nothing. */
    fun receive(shortIds: List<Int>) {
        if (shortIds.isEmpty()) return
        told = shortIds
        receivedAt = clock.now()
    }

    /** The latest list of the relay; null when there is none that is recent. */
    fun received(): List<Int>? = told.takeIf { clock.now() - receivedAt < LIFETIME }

    /** Whether [receiver] is due to be told the list. It is long and changes rarely, so not every reply carries it. */
    fun takeDue(receiver: String): Boolean {
        val now = clock.now()
        val isDue = now - (toldAt[receiver] ?: -Duration.INFINITE) >= PERIOD
        if (isDue) toldAt[receiver] = now
        return isDue
    }

    private fun firstByCapacity(zone: List<Member>): List<Member> {
        val ranked = zone.sortedWith(BY_CAPACITY)
        val wanted = zone.sumOf { it.capacity } * CAPACITY_FRACTION
        var capacity = 0.0
        val enough = ranked.indexOfFirst { member ->
            capacity += member.capacity
            capacity >= wanted
        } + 1
        return ranked.take(maxOf(enough, MIN_SIZE))
    }

    private companion object {
        /** Fraction of a zone's capacity that callers use. */
        const val CAPACITY_FRACTION = 0.4

        /** Callers of a zone still have two addresses when one fails. */
        const val MIN_SIZE = 3

        /** Time between two lists to one daemon. */
        val PERIOD = 1.seconds

        /** Age at which the relay's list is no longer used; more than two periods, as datagrams may be lost. */
        val LIFETIME = 2500.milliseconds
    }
}
