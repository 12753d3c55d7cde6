package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlinx.serialization.Serializable

/**
 * Membership of the replica group of history daemons, stored in the platform's object store.
 *
 * @property epoch increases with each change; daemons reject requests that carry an older one.
 * @property voters names of the daemons that form quorums: each turn is on the disks of a majority of them.
 */
@Serializable
data class HistoryGroup(
    val epoch: Long,
    val voters: List<String>,
) {
    /** Number of voters in a majority. */
    val majority: Int get() = voters.size / 2 + 1
}

/**
 * What a history daemon observes when it decides whether to propose another membership.
 *
 * @property self the observing daemon.
 * @property members registered history daemons, [self] included.
 * @property unresponsive names of daemons that have sent no heartbeat for long enough to be replaced.
 * @property retiring names of daemons that operators are decommissioning.
 * @property toleratedDiskLosses number of disks that may be lost at once without losing data.
 */
data class GroupObservation(
    val self: Member,
    val members: List<Member>,
    val unresponsive: Set<String>,
    val retiring: Set<String>,
    val toleratedDiskLosses: Int,
)

/**
 * The initial membership: 2n + 1 members for n tolerated disk losses, picked round-robin over the availability zones.
 * Null while too few members are registered.
 */
fun firstGroup(observation: GroupObservation): HistoryGroup? {
    val size = observation.toleratedDiskLosses * 2 + 1
    val byZone = observation.members.sortedBy { it.name }
        .groupBy { it.zone }.toSortedMap().values.map { ArrayDeque(it) }
    val chosen = ArrayList<String>()
    while (chosen.size < size && byZone.any { it.isNotEmpty() }) {
        byZone.filter { it.isNotEmpty() }.forEach { if (chosen.size < size) chosen.add(it.removeFirst().name) }
    }
    return if (chosen.size < size) null else HistoryGroup(epoch = 1, voters = chosen.sorted())
}

/**
 * The membership that the daemon of [observation] should propose after [group], or null when it should propose none.
 *
 * A daemon outside the group replaces a voter that is unresponsive or retiring; a retiring voter without a replacement
 * removes itself. Only one voter changes at a time, and only while a majority remains reachable without it, so that the
 * new voter can copy all entries from the others.
 */
fun nextGroup(group: HistoryGroup, observation: GroupObservation): HistoryGroup? {
    val voterToReplace = observation.voterToReplace(group)
    return if (voterToReplace == null || observation.responsiveVoters(group, voterToReplace) < group.majority) {
        null
    } else {
        replacement(group, observation, voterToReplace)
    }
}

private fun replacement(group: HistoryGroup, observation: GroupObservation, voterToReplace: String): HistoryGroup? {
    val self = observation.self.name
    val spares = observation.members.map { it.name }.filter { it !in group.voters && observation.isUsable(it) }
    return when {
        self in spares -> group.with(group.voters - voterToReplace + self)
        self == voterToReplace && spares.isEmpty() && group.voters.size > 2 ->
            group.with(group.voters - voterToReplace)
        else -> null
    }
}

private fun GroupObservation.isUsable(name: String) = name !in unresponsive && name !in retiring

private fun GroupObservation.isRegistered(name: String) = members.any { it.name == name }

/** The voter to replace first: one of this daemon's own zone, if there is one. */
private fun GroupObservation.voterToReplace(group: HistoryGroup): String? {
    val zones = members.associate { it.name to it.zone }
    return group.voters
        .filter { !isUsable(it) || !isRegistered(it) }
        .sortedBy { zones[it] != self.zone }
        .firstOrNull()
}

private fun GroupObservation.responsiveVoters(group: HistoryGroup, voterToReplace: String) =
    group.voters.count { it != voterToReplace && it !in unresponsive && isRegistered(it) }

private fun HistoryGroup.with(voters: List<String>) = HistoryGroup(epoch + 1, voters.sorted())
