package io.jasmineford.gateway.turn

import kotlinx.serialization.Serializable

/**
 * A group as it concerns one daemon.
 *
 * @property joinedAt epoch since which the daemon has been a voter without interruption; null if it is none.
 */
data class GroupStamp(
    val epoch: Long,
    val joinedAt: Long? = 0,
)

/**
 * Epoch and completeness of a history daemon.
 *
 * @property epoch highest epoch of the group that the daemon has seen; it rejects requests of older ones.
 * @property isComplete whether the daemon is a voter of that group whose replies count towards a majority. False after
 * the loss of its disk or of its place in the group, until it has copied the entries of other daemons.
 * @property completeThrough latest epoch in which the daemon was complete, -1 if there is none. Its disk has not been
 * lost since, so it holds every entry that it ever acknowledged.
 * @property copiedAt epoch under which the daemon last copied the entries of others; it holds every entry that was
 * acknowledged under an older one.
 * @property firstEpoch first epoch that the daemon has seen with its present disk; it holds every entry that it
 * acknowledged under a later one.
 */
@Serializable
data class HistoryStatus(
    val epoch: Long,
    val isComplete: Boolean,
    val completeThrough: Long = if (isComplete) epoch else -1,
    val copiedAt: Long = 0,
    val firstEpoch: Long = if (isComplete) 0 else epoch,
) {
    /** Whether the daemon has seen a group with its present disk, or belongs to the first start of the deployment. */
    internal val knowsGroup: Boolean get() = epoch > 0 || completeThrough >= 0

    /** Whether the daemon belongs to the first start of the deployment and has seen no group yet. */
    internal val isOfFirstStart: Boolean get() = epoch == 0L && completeThrough >= 0

    /** Status of the daemon once it knows the group of [stamp]. */
    fun inGroup(stamp: GroupStamp): HistoryStatus {
        // A daemon that left the group and joined again lacks what was written meanwhile, whether it noticed or not.
        val remainsComplete = stamp.joinedAt != null && completeThrough >= stamp.joinedAt
        return copy(
            epoch = stamp.epoch,
            isComplete = remainsComplete,
            completeThrough = if (remainsComplete) stamp.epoch else completeThrough,
            firstEpoch = if (knowsGroup) firstEpoch else stamp.epoch,
        )
    }

    /** Status of a voter that has copied all acknowledged entries under its epoch. */
    fun copied(): HistoryStatus = copy(isComplete = true, completeThrough = epoch, copiedAt = epoch)

    /** Log lines contain this text, whose name differs from the class. */
    override fun toString(): String = "HistoryStanding(epoch=$epoch, isComplete=$isComplete)"
}
