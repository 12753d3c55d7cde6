package io.jasmineford.gateway.turn

/**
 * The initial membership: 2n + 1 members for n tolerated disk losses, picked round-robin over the availability zones.
 * Null while too few members are registered.
 */
fun firstGroup(observation: GroupObservation): HistoryGroup? {
    val size = observation.groupSize
    val byZone = observation.members.sortedBy { it.name }
        .groupBy { it.zone }.toSortedMap().values.map { ArrayDeque(it) }
    val chosen = ArrayList<String>()
    while (chosen.size < size && byZone.any { it.isNotEmpty() }) {
        byZone.filter { it.isNotEmpty() }.forEach { if (chosen.size < size) chosen.add(it.removeFirst().name) }
    }
    return if (chosen.size < size) null else HistoryGroup(epoch = 1, voters = chosen.sorted())
}

/**
 * The initial membership that the daemon of [observation] should propose while no group is stored, or null.
 *
 * A daemon of the first start may propose it also after a restart: it has [status] on its disk then, which tells that
 * it belongs to the first start and has seen no group. Nothing was acknowledged before there was a group. The store
 * accepts the first proposal only, so a daemon that has not read the stored group yet can't form a second one. A
 * majority has to be complete, since voters without a disk of the first start could only wait for others.
 */
fun proposedFirstGroup(status: HistoryStatus, observation: GroupObservation): HistoryGroup? =
    firstGroup(observation)?.takeIf { group ->
        status.isOfFirstStart && group.voters.count { it in observation.complete } >= group.majority
    }
