package io.jasmineford.core.limit

import io.jasmineford.core.lease.LeaseHolder
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.holder
import io.jasmineford.core.lease.shardOf
import kotlin.math.floor

/** Ownership of shared quantities: the owner of each, and whether this VM may lend from it. */
class QuantityOwnership(
    private val membership: Membership,
    private val shards: Int,
) {
    fun shard(name: String): Int = shardOf(name, shards)

    /** Owner of [shard] and its ownership epoch; null before the first map was read. */
    fun owner(shard: Int): Pair<LeaseHolder, Long>? =
        membership.map.shards.getOrNull(shard)?.let { it.holder to it.epoch }

    /** Whether the previous owner handed [shard] over, so that its slices may still be in use. */
    fun isReleased(shard: Int): Boolean = membership.map.shards.getOrNull(shard)?.isReleased == true

    /** Whether [shard] still has the owner to which this VM released it, with no other owner in between. */
    fun isOwnRelease(shard: Int): Boolean =
        owner(shard) != null && owner(shard)?.second == membership.releaseEpoch(shard)

    fun isActiveOwner(shard: Int): Boolean = membership.isActiveOwner(shard)

    fun mayUseFallback(shard: Int): Boolean = membership.mayUseFallback(shard)

    fun withheldShares(shard: Int): Int = membership.withheldShares(shard)

    /** Remaining validity of this VM's lease, the upper bound for the validity of a slice. */
    fun remainingLease() = membership.remainingLease()

    /** Shards that the map assigns to this VM. */
    fun ownShards(): List<Int> = membership.ownShards()
}

/** Part of a bucket that an owner without a valid lease may still lend. The burst is rounded down to whole requests. */
fun AccountRate.fallbackShare(): AccountRate {
    val share = floor(burst * FALLBACK_SHARE)
    return if (share < 1.0) AccountRate(0.0, 0.0) else AccountRate(ratePerSecond * FALLBACK_SHARE, share)
}

/** This rate and burst less [count] fallback shares. */
fun AccountRate.minusFallbackShares(count: Int): AccountRate {
    val share = fallbackShare()
    val rate = ratePerSecond - share.ratePerSecond * count
    return AccountRate(rate.coerceAtLeast(0.0), (burst - share.burst * count).coerceAtLeast(0.0))
}

/** With one lost owner, accounts that use less than nine tenths of their rate are not affected. */
private const val FALLBACK_SHARE = 0.1
