package io.jasmineford.core.config

import com.google.common.hash.Hashing
import kotlin.math.ceil
import kotlin.math.sqrt
import kotlin.time.Duration

/**
 * An entry VM that may publish configurations.
 *
 * @property peerAddress address for other VMs; empty while it is not known.
 * @property incarnation incarnation of the VM's lease; 0 while it is not known.
 */
data class FleetMember(
    val vm: String,
    val zone: String,
    val peerAddress: String = "",
    val incarnation: Long = 0,
)

/**
 * The VMs that may publish, as far as this VM knows. A VM publishes only after every other member has acknowledged it,
 * so a proof that asks all members misses no publication.
 *
 * @param removalDelay shortest time between two lists that both lack a member before it is removed. A write that it
 *   sent while its lease was valid may take effect until then.
 */
class FleetMembers(
    private val self: FleetMember,
    private val removalDelay: Duration,
) {
    private val watchersByZone = HashMap<String, List<FleetMember>>()
    private val digestByZone = HashMap<String, Long>()
    private val acknowledgements = HashMap<String, Long>()
    private var ownIncarnation = 0L
    private val members = sortedMapOf(self.vm to Entry(self, addedAt = Duration.ZERO))

    /** Whether the latest list contains this VM's lease, so that every VM that joins later sees it. */
    var isSelfListed: Boolean = false
        private set

    /** All members in the order of their names, this VM included. */
    val all: List<FleetMember> get() = members.values.map { it.member }

    /** Members of [zone]. */
    fun inZone(zone: String): List<FleetMember> = all.filter { it.zone == zone }

    /** Zones of all members. */
    val zones: Set<String> get() = members.values.mapTo(sortedSetOf()) { it.member.zone }

    /**
     * Applies the unrevoked leases of a list that was requested at [askedAt]. [incarnation] is that of this VM's lease.
     * Acknowledgements of an earlier incarnation are discarded, because the other VMs may have removed this VM since.
     */
    fun applyList(leases: List<FleetMember>, incarnation: Long, askedAt: Duration) {
        if (incarnation != ownIncarnation) acknowledgements.clear()
        ownIncarnation = incarnation
        clearDerived()
        isSelfListed = leases.any { it.vm == self.vm && it.incarnation == incarnation }
        leases.filter { it.vm != self.vm }.forEach { members[it.vm] = Entry(it, askedAt) }
        val seen = leases.mapTo(HashSet()) { it.vm } + self.vm
        val missing = members.values.filter { it.member.vm !in seen && it.addedAt <= askedAt }
        for (entry in missing) {
            val since = entry.missingSince ?: askedAt.also { entry.missingSince = it }
            if (askedAt - since >= removalDelay) members.remove(entry.member.vm)
        }
    }

    /** Records that [member] replied to a request of this VM in [incarnation] and thus knows this VM. */
    fun recordAcknowledgement(member: FleetMember, incarnation: Long) {
        if (incarnation == ownIncarnation) acknowledgements[member.vm] = member.incarnation
    }

    /** Those of [others] that have not acknowledged this VM. */
    fun unacknowledged(others: List<FleetMember>): List<FleetMember> =
        others.filter { it.vm != self.vm && acknowledgements[it.vm] != it.incarnation }

    /** Incarnation of this VM's lease in the latest list. */
    fun incarnation(): Long = ownIncarnation

    /** Adds a member that announced itself at [now]. */
    fun applyAnnouncement(member: FleetMember, now: Duration) {
        val known = members[member.vm]
        if (known != null && known.missingSince == null) return
        clearDerived()
        members[member.vm] = Entry(member, now)
    }

    /**
     * Members of [zone] that read the store: about 2.5 times the square root of the zone's size, so that the load on
     * the store grows more slowly than the fleet while each watcher has few followers.
     */
    fun watchers(zone: String): List<FleetMember> = watchersByZone.getOrPut(zone) {
        val ranked = inZone(zone).sortedBy { Hashing.murmur3_128().hashString(it.vm, Charsets.UTF_8).asLong() }
        ranked.take(ceil(WATCHER_FACTOR * sqrt(ranked.size.toDouble())).toInt())
    }

    /** Watchers of [zone] that ask all its VMs during a store outage; the other VMs of the zone ask them. */
    fun outageCoordinators(zone: String): List<FleetMember> = watchers(zone).take(OUTAGE_COORDINATORS)

    /**
     * Watcher of [follower]. Followers are distributed evenly; [outageCoordinators] have none if there are other
     * watchers, because they read the list of leases more often. A different [attempt] selects another watcher after
     * failures.
     */
    fun watcherOf(follower: FleetMember, attempt: Int = 0): FleetMember {
        val watchers = watchers(follower.zone)
        val serving = watchers.drop(OUTAGE_COORDINATORS).ifEmpty { watchers }
        val names = watchers.mapTo(HashSet()) { it.vm }
        val position = members.headMap(follower.vm).values.count { it.member.zone == follower.zone && it.member.vm !in names }
        return serving[(position + attempt).mod(serving.size)]
    }

    /** Digest of the names of the members of [zone]. */
    fun digest(zone: String): Long = digestByZone.getOrPut(zone) {
        val names = inZone(zone).joinToString(",") { it.vm }
        Hashing.murmur3_128().hashString(names, Charsets.UTF_8).asLong()
    }

    private fun clearDerived() {
        watchersByZone.clear()
        digestByZone.clear()
    }

    private class Entry(val member: FleetMember, val addedAt: Duration, var missingSince: Duration? = null)

    private companion object {
        const val WATCHER_FACTOR = 2.5
        const val OUTAGE_COORDINATORS = 2
    }
}
