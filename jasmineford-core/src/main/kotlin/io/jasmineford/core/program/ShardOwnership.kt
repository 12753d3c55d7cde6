package io.jasmineford.core.program

import io.jasmineford.core.lease.ShardOwner

/** Shard ownership as [ShardLifecycle] sees it. Answers reflect this VM's membership state at the time of the call. */
interface ShardOwnership {
    /** Epoch of the newest shard map read. */
    val mapEpoch: Long

    /** Store revision of the newest shard map read. */
    val mapRevision: Long

    /** Owners of all shards, by shard number. */
    val owners: List<ShardOwner>

    /** Whether this VM is the owner of [shard], whether or not its lease is valid now. */
    fun isOwner(shard: Int): Boolean

    /** Whether this VM is the owner of [shard] and its lease is valid now. */
    fun isActiveOwner(shard: Int): Boolean

    /** Shards that this VM should hand over. */
    fun shardsToHandOver(): Set<Int>
}

/** An action that [ShardLifecycle] requests from its driver, repeatedly as long as it is due. */
sealed interface ShardAction {
    /** Store call of a replay. The driver returns the reply with the same step. */
    data class Replay(val step: ReplayStep) : ShardAction

    /** Map update after which these shards list only this VM's own journal. */
    data class DropReplayedJournals(val shards: Set<Int>) : ShardAction

    /** Map update that gives these shards to their new owners. Nothing more is appended for them. */
    data class Release(val shards: Set<Int>) : ShardAction

    /** Deletion of unreferenced objects. A failure leaves garbage and has no other effect. */
    data class Delete(val objects: List<ObsoleteObject>) : ShardAction
}
