package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.Member
import kotlinx.serialization.Serializable

/**
 * Membership of the replica group of history daemons, stored in the platform's object store.
 *
 * @property epoch increases by one with each change; daemons reject requests that carry an older one.
 * @property voters names of the daemons that form quorums: each turn is on the disks of a majority of them.
 * @property joinedAt epoch since which each voter has belonged to the group; 0 for those of the first group.
 * @property earlier the preceding groups, oldest first, back to the latest one that was as large as those before and
 * whose voters were all complete: for each of their voters the epoch since which it belonged. Some acknowledged entries
 * may be held by their voters only.
 */
@Serializable
data class HistoryGroup(
    val epoch: Long,
    val voters: List<String>,
    val joinedAt: Map<String, Long> = emptyMap(),
    val earlier: List<Map<String, Long>> = emptyList(),
) {
    /** Number of voters in a majority. */
    val majority: Int get() = majorityOf(voters.size)

    /** The voters, each with the epoch since which it has belonged to the group. */
    internal val generation: Map<String, Long> get() = voters.associateWith { joinedAt[it] ?: 0 }

    /** This group as it concerns the daemon [name]. */
    fun stampFor(name: String) = GroupStamp(epoch, generation[name])

    /**
     * Whether the voter [self] of status [own] holds every acknowledged entry once it has copied all entries of
     * [sources], which had the given statuses then, under this epoch.
     *
     * A majority acknowledged each entry, so daemons that hold what they acknowledged and that intersect each majority
     * of a group hold all entries of that group. In the oldest group they must have been complete as well: only then do
     * they hold the entries of the groups before.
     */
    fun isCopyComplete(self: String, own: HistoryStatus, sources: Map<String, HistoryStatus>): Boolean {
        val statuses = sources + (self to own)
        val generations = earlier + generation
        return generations.withIndex().all { (index, voters) ->
            val generationEpoch = epoch - (generations.size - 1 - index)
            val holders = voters.count { (name, joinedAt) ->
                val status = statuses[name]
                when {
                    status == null -> false
                    index == 0 -> status.completeThrough >= joinedAt
                    else -> status.completeThrough >= 0 || status.firstEpoch < generationEpoch
                }
            }
            holders > voters.size - majorityOf(voters.size) || statuses.values.any { it.copiedAt > generationEpoch }
        }
    }
}

private fun majorityOf(voters: Int) = voters / 2 + 1

/**
 * What a history daemon observes when it decides whether to propose another membership.
 *
 * @property self the observing daemon.
 * @property members registered history daemons, [self] included.
 * @property unresponsive names of daemons that have sent no heartbeat for long enough to be replaced.
 * @property retiring names of daemons that operators are decommissioning.
 * @property toleratedDiskLosses number of disks that may be lost at once without losing data.
 * @property complete names of daemons that were complete by their latest heartbeat, which may be old.
 * @property heard names of daemons that have sent a heartbeat recently.
 */
data class GroupObservation(
    val self: Member,
    val members: List<Member>,
    val unresponsive: Set<String>,
    val retiring: Set<String>,
    val toleratedDiskLosses: Int,
    val complete: Set<String>,
    val heard: Set<String>,
) {
    /** Number of voters with which the losses are tolerated. */
    internal val groupSize: Int get() = toleratedDiskLosses * 2 + 1
}

/**
 * The membership that the daemon of [observation] should propose after [group], or null when it should propose none.
 *
 * A daemon outside the group replaces a voter that is unresponsive or retiring, or joins a group that has lost voters;
 * a retiring voter without a replacement removes itself. Only one voter changes at a time, and only while complete
 * voters that hold all entries remain reachable without it, so that the new voter can copy from them. A voter that is
 * not complete, such as one that has lost its disk, does not count: the only copies may be on the disk of the one to
 * replace.
 */
fun nextGroup(group: HistoryGroup, observation: GroupObservation): HistoryGroup? {
    val toReplace = observation.votersToReplace(group)
    val voterToReplace = toReplace.firstOrNull { observation.holdsAllWithout(it, group) }
    val hasTooFew = group.voters.size < observation.groupSize
    val isSpare = observation.self.name in observation.spares(group)
    return when {
        voterToReplace != null -> replacement(group, observation, voterToReplace)
        toReplace.isEmpty() && hasTooFew && isSpare && observation.holdsAllWithout(null, group) ->
            group.with(group.voters + observation.self.name, observation)
        else -> null
    }
}

private fun replacement(group: HistoryGroup, observation: GroupObservation, voterToReplace: String): HistoryGroup? {
    val self = observation.self.name
    val spares = observation.spares(group)
    return when {
        self in spares -> group.with(group.voters - voterToReplace + self, observation)
        self == voterToReplace && spares.isEmpty() && group.voters.size > 2 ->
            group.with(group.voters - voterToReplace, observation)
        else -> null
    }
}

private fun GroupObservation.spares(group: HistoryGroup) =
    members.map { it.name }.filter { it !in group.voters && isUsable(it) }

private fun GroupObservation.isUsable(name: String) = name !in unresponsive && name !in retiring

private fun GroupObservation.isRegistered(name: String) = members.any { it.name == name }

/** The voters to replace, those of this daemon's own zone first. */
private fun GroupObservation.votersToReplace(group: HistoryGroup): List<String> {
    val zones = members.associate { it.name to it.zone }
    return group.voters
        .filter { !isUsable(it) || !isRegistered(it) }
        .sortedBy { zones[it] != self.zone }
}

/** Whether the complete voters other than [voter] intersect each majority of [group], so that they hold all entries. */
private fun GroupObservation.holdsAllWithout(voter: String?, group: HistoryGroup): Boolean {
    val complete = group.voters.count { it != voter && it in complete && it in heard && isRegistered(it) }
    return complete > group.voters.size - group.majority
}

private fun HistoryGroup.with(next: List<String>, observation: GroupObservation): HistoryGroup {
    val added = next - voters.toSet()
    // Fewer voters than before are complete together, but need not intersect the majorities of a larger group.
    val isSettled = observation.complete.containsAll(voters) && earlier.all { it.size <= voters.size }
    val stillNeeded = if (isSettled) emptyList() else earlier
    return HistoryGroup(
        epoch = epoch + 1,
        voters = next.sorted(),
        joinedAt = joinedAt.filterKeys { it in next } + added.associateWith { epoch + 1 },
        earlier = stillNeeded + listOf(generation),
    )
}
