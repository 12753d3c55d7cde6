package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import java.util.zip.CRC32C
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Order of the entry daemons of an availability zone: the largest first. */
internal val BY_CAPACITY: Comparator<Member> = compareByDescending<Member> { it.capacity }.thenBy { it.name }

/**
 * Chooses the entry daemons that relay heartbeats, so that their number grows linearly with the fleet.
 *
 * In a small fleet every entry daemon is a relay and exchanges with every other one. In a large fleet the first
 * [RELAYS_PER_ZONE] daemons of each availability zone are, ordered by capacity and name; each other daemon exchanges
 * with one of those of its zone. A relay that does not reply is suspected, and the next one in that order takes its
 * place in the view of the daemon that suspects it. Views may differ: relays are not exclusive, and each daemon's load
 * goes through the one relay that the daemon has chosen.
 */
class RelaySelection(private val self: Member, private val clock: MonotonicClock) {
    private var ranked: Map<String, List<Member>> = mapOf(self.zone to listOf(self))
    private var unsuspectedRelays: List<Member> = listOf(self)
    private val suspectedUntil = HashMap<String, Duration>()
    private val ranks = HashMap<String, Int>()

    /** Whether every entry daemon is a relay. */
    var isMesh = true
        private set

    /** Relays of all availability zones if none is suspected. */
    var defaultRelays: List<Member> = listOf(self)
        private set

    /** Number of entry daemons, this one included. */
    val entryCount: Int get() = ranked.values.sumOf { it.size }

    /** Rank of this daemon, from 0, in an order of all entry daemons by [key]. */
    fun rankFor(key: String): Int = ranks.getOrPut(key) {
        val order = compareBy<String>({ hash(key, it) }, { it })
        ranked.values.sumOf { zone -> zone.count { order.compare(it.name, self.name) < 0 } }
    }

    private fun hash(key: String, name: String): Long =
        CRC32C().apply { update("$name/$key".toByteArray()) }.value

    /** Relays of this daemon's availability zone in its own view. */
    val ownRelays: List<Member>
        get() {
            val all = ranked[self.zone].orEmpty()
            if (isMesh) return all
            if (suspectedUntil.isEmpty()) return unsuspectedRelays
            val now = clock.now()
            suspectedUntil.values.removeIf { it <= now }
            return all.asSequence().filter { it.name !in suspectedUntil }.take(RELAYS_PER_ZONE).toList()
        }

    /** Replaces the registered entry daemons; this daemon is added when it is missing. */
    fun replaceEntries(entries: Collection<Member>) {
        val all = (entries.filter { it.name != self.name } + self)
        ranks.clear()
        isMesh = all.size <= MAX_MESH_SIZE
        ranked = all.groupBy { it.zone }
            .mapValues { (_, list) -> list.sortedWith(BY_CAPACITY) }
        unsuspectedRelays = ranked[self.zone].orEmpty().take(RELAYS_PER_ZONE)
        defaultRelays = ranked.values.flatMap { if (isMesh) it else it.take(RELAYS_PER_ZONE) }
    }

    /** Whether this daemon is a relay in its own view. */
    fun isRelay(): Boolean = isMesh || ownRelays.any { it.name == self.name }

    /** The relay that this daemon uses, null when it is one itself. The daemons of a zone spread over its relays. */
    fun relay(): Member? {
        if (isMesh) return null
        val relays = ownRelays
        return if (relays.any { it.name == self.name }) {
            null
        } else {
            relays.getOrNull(Math.floorMod(self.shortId, relays.size.coerceAtLeast(1)))
        }
    }

    /** Records that [name] did not reply. */
    fun suspect(name: String) {
        suspectedUntil[name] = clock.now() + SUSPICION_TIME
    }

    /** Records a heartbeat of [name]. */
    fun trust(name: String) {
        suspectedUntil.remove(name)
    }

    companion object {
        /** Largest number of entry daemons that all exchange with each other. */
        const val MAX_MESH_SIZE = 12

        /** Two relays of a zone may fail at once; more relays would mean more messages between relays. */
        const val RELAYS_PER_ZONE = 3

        /** Time after which a relay that did not reply is tried again; a restarted one is heard earlier. */
        private val SUSPICION_TIME = 10.seconds
    }
}
