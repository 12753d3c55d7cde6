package io.jasmineford.core.program

import io.jasmineford.core.lease.ShardOwner

/** What ownership tells the keeper of programs. Answers are those of this VM's own membership at the time of the call. */
interface ShardRights {
    /** Epoch of the newest shard map seen. */
    val mapEpoch: Long

    /** Store revision of the newest shard map seen. */
    val mapRevision: Long

    /** All shards, in order. */
    val owners: List<ShardOwner>

    /** Whether this VM is the owner of [shard], whether or not its lease is valid now. */
    fun isOwn(shard: Int): Boolean

    /** Whether this VM is the owner of [shard] and its lease is valid now. */
    fun mayAct(shard: Int): Boolean

    /** Shards that this VM should hand over. */
    fun toHandOver(): Set<Int>
}

/** What [ShardKeeping] asks its driver to do. Each is asked for again as long as it is due. */
sealed interface KeeperAction {
    /** Store call of a replay; the reply goes back with the same step. */
    data class Replay(val step: ReplayStep) : KeeperAction

    /** A map in which these shards list only this VM's own journal. */
    data class ReduceJournals(val shards: Set<Int>) : KeeperAction

    /** A map in which these shards have their new owners. Nothing more is appended for them. */
    data class Release(val shards: Set<Int>) : KeeperAction

    /** Deletion of objects that nothing refers to any more. A failure leaves garbage and does no other harm. */
    data class Delete(val objects: List<DeadObject>) : KeeperAction
}
