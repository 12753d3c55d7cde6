package io.jasmineford.daemon.control

import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.ShardOwner
import io.jasmineford.core.program.ShardOwnership

/** Shard ownership of one [incarnation] of this VM; grants nothing once the VM has a newer incarnation. */
internal class MembershipRights(
    private val membership: Membership,
    private val vm: String,
    private val incarnation: Long,
) : ShardOwnership {
    override val mapEpoch: Long get() = membership.map.epoch

    override val mapRevision: Long get() = membership.mapRevision

    override val owners: List<ShardOwner> get() = membership.map.shards

    override fun isOwner(shard: Int): Boolean {
        val owner = owners.getOrNull(shard) ?: return false
        return owner.vm == vm && owner.incarnation == incarnation
    }

    override fun isActiveOwner(shard: Int): Boolean = isOwner(shard) && membership.isActiveOwner(shard)

    override fun shardsToHandOver(): Set<Int> = membership.shardsToHandOver().keys
}
