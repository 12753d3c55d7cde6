package io.jasmineford.core.config

import com.google.common.hash.Hashing
import kotlin.math.ceil
import kotlin.math.sqrt
import kotlin.time.Duration

/**
 * An entry VM that may publish configurations.
 *
 * @property peerAddress empty while it isn't known.
 * @property incarnation incarnation of the VM's lease; 0 while it isn't known.
 */
data class FleetMember(
    val vm: String,
    val zone: String,
    val peerAddress: String = "",
    val incarnation: Long = 0,
)

/**
 * The VMs that may publish, as far as this VM knows. A VM publishes only after every other VM has acknowledged it, so a
 * proof that asks all members misses no publication.
 *
 * @param lingerFor a member is dropped only when two lists this far apart both lack it: a write that it sent while its lease
 *   was valid may take effect until then.
 */
class FleetMembers(
    private val self: FleetMember,
    private val lingerFor: Duration,
) {
    private val watchersByZone = HashMap<String, List<FleetMember>>()
    private val digestByZone = HashMap<String, Long>()
    private val acknowledgedBy = HashMap<String, Long>()
    private var ownIncarnation = 0L
    private val members = sortedMapOf(self.vm to Entry(self, addedAt = Duration.ZERO))

    /** True once a list showed this VM's own lease: every VM that joins later sees this one. */
    var isSelfListed: Boolean = false
        private set

    /** All members by name, this VM included. */
    val all: List<FleetMember> get() = members.values.map { it.member }

    /** Members of [zone]. */
    fun inZone(zone: String): List<FleetMember> = all.filter { it.zone == zone }

    /** Zones of all members. */
    val zones: Set<String> get() = members.values.mapTo(sortedSetOf()) { it.member.zone }

    /**
     * Takes the leases that are not revoked, from a list that was asked for at [askedAt]. [incarnation] is that of this VM's
     * lease; others may have dropped this VM since an earlier incarnation, so acknowledgements don't outlive it.
     */
    fun listed(leases: List<FleetMember>, incarnation: Long, askedAt: Duration) {
        if (incarnation != ownIncarnation) acknowledgedBy.clear()
        ownIncarnation = incarnation
        forgetDerived()
        isSelfListed = leases.any { it.vm == self.vm && it.incarnation == incarnation }
        leases.filter { it.vm != self.vm }.forEach { members[it.vm] = Entry(it, askedAt) }
        val seen = leases.mapTo(HashSet()) { it.vm } + self.vm
        val missing = members.values.filter { it.member.vm !in seen && it.addedAt <= askedAt }
        for (entry in missing) {
            val since = entry.missingSince ?: askedAt.also { entry.missingSince = it }
            if (askedAt - since >= lingerFor) members.remove(entry.member.vm)
        }
    }

    /** Records that [member] replied to a question that this VM sent in [incarnation], so that it knows this VM. */
    fun acknowledgedBy(member: FleetMember, incarnation: Long) {
        if (incarnation == ownIncarnation) acknowledgedBy[member.vm] = member.incarnation
    }

    /** Those of [others] that may not know this VM yet. */
    fun unacknowledged(others: List<FleetMember>): List<FleetMember> =
        others.filter { it.vm != self.vm && acknowledgedBy[it.vm] != it.incarnation }

    /** Incarnation of this VM's lease in the newest list. */
    fun incarnation(): Long = ownIncarnation

    /** Takes a member that made itself known at [now]. */
    fun introduced(member: FleetMember, now: Duration) {
        val known = members[member.vm]
        if (known != null && known.missingSince == null) return
        forgetDerived()
        members[member.vm] = Entry(member, now)
    }

    /**
     * The members of [zone] that watch the store: about 1.5 times the square root of the zone's size, so that watches grow
     * more slowly than the fleet and each watcher still serves few others.
     */
    fun watchers(zone: String): List<FleetMember> = watchersByZone.getOrPut(zone) {
        val ranked = inZone(zone).sortedBy { Hashing.murmur3_128().hashString(it.vm, Charsets.UTF_8).asLong() }
        ranked.take(ceil(WATCHER_FACTOR * sqrt(ranked.size.toDouble())).toInt())
    }

    /** Digest of the names of the members of [zone]. */
    fun digest(zone: String): Long = digestByZone.getOrPut(zone) {
        val names = inZone(zone).joinToString(",") { it.vm }
        Hashing.murmur3_128().hashString(names, Charsets.UTF_8).asLong()
    }

    private fun forgetDerived() {
        watchersByZone.clear()
        digestByZone.clear()
    }

    private class Entry(val member: FleetMember, val addedAt: Duration, var missingSince: Duration? = null)

    private companion object {
        const val WATCHER_FACTOR = 1.5
    }
}
