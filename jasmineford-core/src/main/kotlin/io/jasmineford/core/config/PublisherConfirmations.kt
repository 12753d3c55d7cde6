package io.jasmineford.core.config

import kotlin.time.Duration

/**
 * Proves during a store outage that the configuration is current: every VM that may publish confirms that it has no
 * publication in flight. A confirmation holds as of the time at which its request was sent, and the proof as of the
 * oldest confirmation.
 *
 * VMs of this zone confirm for themselves; a watcher of each other zone confirms for all VMs of its zone.
 */
class PublisherConfirmations(
    private val self: FleetMember,
    private val members: FleetMembers,
) {
    private val confirmations = HashMap<String, Duration>()
    private val zoneConfirmations = HashMap<String, Duration>()

    /** Records the reply of a member to a request that was sent at [askedAt]. */
    fun onReply(from: FleetMember, view: PeerView, askedAt: Duration) {
        if (view.isSettled) {
            confirmations[from.vm] = askedAt
        } else {
            confirmations.remove(from.vm)
        }
        if (from.zone == self.zone) return
        val zoneAge = view.zoneAge
        if (zoneAge != null && view.zoneDigest == members.digest(from.zone)) {
            zoneConfirmations.merge(from.zone, askedAt - zoneAge, ::maxOf)
        }
    }

    /**
     * Time as of which all members of this zone have confirmed; null when one has not. [now] is this VM's own
     * confirmation, null while its own publication is in flight.
     */
    fun zoneConfirmedAt(now: Duration?): Duration? = oldest(members.inZone(self.zone)) { confirmedAt(it, now) }

    /**
     * Time as of which all members of all zones have confirmed; null when one has not. [now] is as in
     * [zoneConfirmedAt].
     */
    fun fleetConfirmedAt(now: Duration?): Duration? {
        val own = zoneConfirmedAt(now) ?: return null
        val others = members.zones.filter { it != self.zone }
        val oldestOther = oldest(others) { zone ->
            val direct = oldest(members.inZone(zone)) { confirmedAt(it, now) }
            listOfNotNull(zoneConfirmations[zone], direct).maxOrNull()
        }
        return if (others.isEmpty()) own else oldestOther?.let { minOf(it, own) }
    }

    /** Discards all confirmations, for example because the members changed. */
    fun clear() {
        confirmations.clear()
        zoneConfirmations.clear()
    }

    private fun confirmedAt(member: FleetMember, now: Duration?): Duration? =
        if (member.vm == self.vm) now else confirmations[member.vm]

    private fun <T> oldest(items: Collection<T>, timeOf: (T) -> Duration?): Duration? {
        val times = items.map(timeOf)
        return if (times.isEmpty() || times.any { it == null }) null else times.filterNotNull().min()
    }
}
