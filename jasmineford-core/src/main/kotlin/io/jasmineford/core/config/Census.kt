package io.jasmineford.core.config

import kotlin.time.Duration

/**
 * Proof without the store: every VM that may publish has stated that it has no publication under way. A statement holds
 * for the time before its question was sent; the oldest statement dates the proof.
 *
 * VMs of the own zone state for themselves; a watcher of each other zone states for its whole zone.
 */
class Census(
    private val self: FleetMember,
    private val members: FleetMembers,
) {
    private val statements = HashMap<String, Duration>()
    private val zoneStatements = HashMap<String, Duration>()

    /** Takes the reply of a member to a question that was sent at [askedAt]. */
    fun onReply(from: FleetMember, view: PeerView, askedAt: Duration) {
        if (view.isSettled) {
            statements[from.vm] = askedAt
        } else {
            statements.remove(from.vm)
        }
        if (from.zone == self.zone) return
        val zoneAge = view.zoneAge
        if (zoneAge != null && view.zoneDigest == members.digest(from.zone)) {
            zoneStatements.merge(from.zone, askedAt - zoneAge, ::maxOf)
        }
    }

    /** Time for which all members of the own zone have stated; null when one didn't. [now] is null while unsettled. */
    fun zoneTime(now: Duration?): Duration? = oldest(members.inZone(self.zone)) { timeOf(it, now) }

    /** Time for which all members of all zones have stated; null when one didn't. */
    fun fleetTime(now: Duration?): Duration? {
        val own = zoneTime(now) ?: return null
        val others = members.zones.filter { it != self.zone }
        val oldestOther = oldest(others) { zone ->
            val direct = oldest(members.inZone(zone)) { timeOf(it, now) }
            listOfNotNull(zoneStatements[zone], direct).maxOrNull()
        }
        return if (others.isEmpty()) own else oldestOther?.let { minOf(it, own) }
    }

    /** Forgets everything, for example because the members changed. */
    fun clear() {
        statements.clear()
        zoneStatements.clear()
    }

    private fun timeOf(member: FleetMember, now: Duration?): Duration? =
        if (member.vm == self.vm) now else statements[member.vm]

    private fun <T> oldest(items: Collection<T>, timeOf: (T) -> Duration?): Duration? {
        val times = items.map(timeOf)
        return if (times.isEmpty() || times.any { it == null }) null else times.filterNotNull().min()
    }
}
