package io.jasmineford.core.limit

import io.jasmineford.core.lease.LeaseHolder
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.holder
import io.jasmineford.core.lease.shardOf
import kotlin.math.floor

/** Which VM owns which shared quantity, and this VM's rights to it. */
class LimitRights(
    private val membership: Membership,
    private val shards: Int,
) {
    fun shard(name: String): Int = shardOf(name, shards)

    /** Owner of [shard] with the epoch of its ownership; null before the first map. */
    fun owner(shard: Int): Pair<LeaseHolder, Long>? =
        membership.map.shards.getOrNull(shard)?.let { it.holder to it.epoch }

    /** Whether the owner before handed [shard] over, so that its slices may still be in use. */
    fun isReleased(shard: Int): Boolean = membership.map.shards.getOrNull(shard)?.isReleased == true

    /** Whether the owner of [shard] is the one that this VM released it to, so that no other owner was in between. */
    fun isOwnRelease(shard: Int): Boolean =
        owner(shard) != null && owner(shard)?.second == membership.releaseEpoch(shard)

    fun mayAct(shard: Int): Boolean = membership.mayAct(shard)

    fun mayUseFallback(shard: Int): Boolean = membership.mayUseFallback(shard)

    fun withheldShares(shard: Int): Int = membership.withheldShares(shard)

    /** Time for which a slice may be valid, at most. */
    fun rightLeft() = membership.rightLeft()

    /** Shards that the map gives to this VM. */
    fun ownShards(): List<Int> = membership.ownShards()
}

/** Part of a bucket that an owner without a right may still give out; whole requests, so small bursts have none. */
fun AccountRate.fallbackShare(): AccountRate {
    val share = floor(burst * FALLBACK_SHARE)
    return if (share < 1.0) AccountRate(0.0, 0.0) else AccountRate(ratePerSecond * FALLBACK_SHARE, share)
}

/** This bucket without [count] fallback shares. */
fun AccountRate.without(count: Int): AccountRate {
    val share = fallbackShare()
    val rate = ratePerSecond - share.ratePerSecond * count
    return AccountRate(rate.coerceAtLeast(0.0), (burst - share.burst * count).coerceAtLeast(0.0))
}

/** A tenth: with one lost owner, accounts that use less than nine tenths of their rate notice nothing. */
private const val FALLBACK_SHARE = 0.1
