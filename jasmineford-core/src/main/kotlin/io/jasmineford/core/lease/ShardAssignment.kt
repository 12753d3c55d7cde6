package io.jasmineford.core.lease

/** Whether [lease] is the current, unrevoked lease of this owner. */
fun ShardOwner.isHeldBy(lease: Lease): Boolean =
    vm == lease.identity.vm && incarnation == lease.incarnation && !lease.isRevoked

/**
 * Assigns shards without an owner to the VMs of [candidates] that own the fewest. A shard has no owner when it was
 * never assigned or its owner has [ended]. A shard with a live owner is never moved here: only its owner may hand it
 * over, see [handOver].
 */
fun assignUnownedShards(
    before: List<ShardOwner>,
    candidates: List<Lease>,
    count: Int,
    epoch: Long,
    ended: (LeaseHolder) -> Boolean,
): List<ShardOwner> {
    val staying = candidates.filter { !it.isLeaving }.sortedBy { it.identity.vm }
    if (staying.isEmpty()) return before
    val held = staying.associateWith { lease -> before.count { it.isHeldBy(lease) } }.toMutableMap()
    return (0 until count).map { shard ->
        val owner = before.getOrNull(shard)
        if (owner != null && !ended(owner.holder)) return@map owner
        val lease = held.minBy { it.value }.key
        held.merge(lease, 1, Int::plus)
        newOwner(lease, epoch, owner).copy(withheldFor = owner?.let { it.withheldFor + it.holder }.orEmpty())
    }
}

/**
 * Shards that [self] should hand over to VMs of [live], with their new owners: all of them when it is leaving,
 * otherwise those above its fair share.
 */
fun shardsToHandOver(shards: List<ShardOwner>, live: List<Lease>, self: Lease): Map<Int, Lease> {
    val staying = live.filter { !it.isLeaving && !it.isRevoked }.sortedBy { it.identity.vm }
    val own = shards.indices.filter { shards[it].isHeldBy(self) }
    if (staying.isEmpty()) return emptyMap()
    val fairPart = (shards.size + staying.size - 1) / staying.size
    val surplus = if (self.isLeaving) own else own.drop(fairPart)
    val held = staying.associateWith { lease -> shards.count { it.isHeldBy(lease) } }.toMutableMap()
    return surplus.associateWith { _ ->
        val lease = held.minBy { it.value }.key
        held.merge(lease, 1, Int::plus)
        lease
    }
}

/**
 * Map entries after the [moved] shards got new owners. The old owner journals nothing for them after writing this map.
 */
fun handOver(shards: List<ShardOwner>, moved: Map<Int, Lease>, epoch: Long): List<ShardOwner> =
    shards.mapIndexed { shard, owner ->
        val lease = moved[shard] ?: return@mapIndexed owner
        newOwner(lease, epoch, owner).copy(isReleased = true, withheldFor = owner.withheldFor)
    }

private fun newOwner(lease: Lease, epoch: Long, before: ShardOwner?) = ShardOwner(
    vm = lease.identity.vm,
    incarnation = lease.incarnation,
    epoch = epoch,
    journals = (before?.journals.orEmpty() + journalId(lease.identity.vm, lease.incarnation)).distinct(),
)
