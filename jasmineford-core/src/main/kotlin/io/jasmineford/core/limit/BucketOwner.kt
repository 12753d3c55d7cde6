package io.jasmineford.core.limit

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * State of one token bucket in a planned hand-over.
 *
 * @property level tokens that are not lent.
 * @property lent tokens that are lent and may still be used.
 */
data class BucketLevel(val name: String, val level: Double, val lent: Double)

/**
 * State of a shard's token buckets in a planned hand-over.
 *
 * @property epoch ownership epoch that may use this state: the one that directly follows the sender's.
 * @property isUnlistedFull whether buckets that are not in [levels] are full, since nothing was ever lent from them.
 */
data class ShardLevels(val shard: Int, val epoch: Long, val levels: List<BucketLevel>, val isUnlistedFull: Boolean)

/**
 * Token buckets of the shards that this VM owns.
 *
 * After a takeover from a lost owner a bucket starts empty at once: the lost owner's slices expired with its lease, and
 * all that it lent counts as used. After a planned hand-over the previous owner's slices may still be in use, so the
 * bucket starts when the last of them has expired, unless [receiveState] delivers its state. Without a valid lease,
 * only the fallback share is lent.
 *
 * @param rateOf rate and burst in force for an account; null when it has none.
 */
class BucketOwner(
    private val ownership: QuantityOwnership,
    private val clock: MonotonicClock,
    private val settings: SliceSettings,
    private val rateOf: (name: String) -> AccountRate?,
) {
    private val owned = HashMap<Int, ShardBuckets>()
    private val received = HashMap<Int, ShardLevels>()

    /** Lends up to [units] of bucket [name] to [borrower]; null when this VM may not lend from it. */
    fun borrow(name: String, borrower: String, units: Double): SliceGrant? {
        val now = clock.now()
        val shard = ownership.shard(name)
        val isFallback = !ownership.isActiveOwner(shard) && ownership.mayUseFallback(shard)
        if (!isFallback && !ownership.isActiveOwner(shard)) return null
        val shardBuckets = bucketsOf(shard, now) ?: return null
        if (now < shardBuckets.startsAt) return SliceGrant(slice = null, retryAfter = settings.minRetryDelay)
        val full = rateOf(name) ?: return null
        val rate = if (isFallback) full.fallbackShare() else full.minusFallbackShares(ownership.withheldShares(shard))
        val bucket = shardBuckets.buckets.getOrPut(name) {
            bucket(rate, shardBuckets, BucketLevel(name, shardBuckets.startLevel(rate), 0.0))
        }
        bucket.setRate(now, rate)
        val remainingLease = if (isFallback) settings.maxValidity else ownership.remainingLease()
        return bucket.lender.borrow(now, borrower, units, remainingLease)
    }

    /** Takes slice [id] back. Slices of other owners have other ids and are ignored. */
    fun returnSlice(name: String, id: Long, unused: Double) {
        owned[ownership.shard(name)]?.buckets?.get(name)?.lender?.returnSlice(clock.now(), id, unused)
    }

    /** Registers newly owned shards, and returns the state of those that this VM handed over. */
    fun poll(): List<ShardLevels> {
        val now = clock.now()
        val own = ownership.ownShards().toSet()
        val lost = owned.keys - own
        // The state is valid only for the direct successor. The map may have changed again since, for example because
        // the successor has already replayed the journals.
        val handedOver = lost.filter { ownership.isOwnRelease(it) }.mapNotNull { shard ->
            val shardBuckets = owned.getValue(shard)
            val epoch = ownership.owner(shard)?.second ?: return@mapNotNull null
            ShardLevels(shard, epoch, levels(shardBuckets, now), shardBuckets.isFullAtStart)
        }
        owned.keys.removeAll(lost)
        own.forEach { bucketsOf(it, now) }
        return handedOver
    }

    /** Stores the state sent by the previous owner, which may arrive before this VM has read the new map. */
    fun receiveState(state: ShardLevels) {
        received[state.shard] = state
        bucketsOf(state.shard, clock.now())
    }

    private fun useReceived(shard: Int, shardBuckets: ShardBuckets, now: Duration) {
        val state = received[shard]?.takeIf { it.epoch == shardBuckets.epoch } ?: return
        received.remove(shard)
        if (now >= shardBuckets.startsAt || shardBuckets.buckets.isNotEmpty()) return
        shardBuckets.startsAt = now
        shardBuckets.isFullAtStart = state.isUnlistedFull
        for (level in state.levels) {
            val rate = rateOf(level.name)?.minusFallbackShares(ownership.withheldShares(shard)) ?: continue
            shardBuckets.buckets[level.name] = bucket(rate, shardBuckets, level)
        }
    }

    private fun bucketsOf(shard: Int, now: Duration): ShardBuckets? {
        val (holder, epoch) = ownership.owner(shard) ?: return null
        if (shard !in ownership.ownShards()) return null
        val known = owned[shard]?.takeIf { it.epoch == epoch && it.incarnation == holder.incarnation }
        if (known != null) return known.also { useReceived(shard, it, now) }
        val startsAt = if (ownership.isReleased(shard)) now + settings.maxValidity * 2 else now
        val next = ShardBuckets(epoch, holder.incarnation, startsAt, isFullAtStart = epoch == FIRST_EPOCH)
        owned[shard] = next
        useReceived(shard, next, now)
        return next
    }

    private fun bucket(rate: AccountRate, shardBuckets: ShardBuckets, from: BucketLevel): Bucket {
        val supply = BucketSupply(rate, shardBuckets.startsAt, startLevel = from.level + from.lent)
        val lender = SliceLender(supply, settings, firstId = shardBuckets.epoch shl EPOCH_SHIFT)
        // Slices of the previous owner that may still be in use count as lent until they have certainly expired.
        if (from.lent >= 1.0) {
            lender.borrow(shardBuckets.startsAt, "previous owner", kotlin.math.ceil(from.lent), settings.maxValidity)
        }
        return Bucket(supply, lender)
    }

    private fun levels(shardBuckets: ShardBuckets, now: Duration): List<BucketLevel> =
        shardBuckets.buckets.map { (name, bucket) ->
            bucket.lender.advance(now)
            BucketLevel(name, bucket.supply.level, bucket.lender.lent)
        }

    private class Bucket(val supply: BucketSupply, val lender: SliceLender) {
        fun setRate(now: Duration, rate: AccountRate) {
            // Refill up to now at the old rate.
            lender.advance(now)
            supply.rate = rate
            lender.advance(now)
        }
    }

    private data class ShardBuckets(
        val epoch: Long,
        val incarnation: Long,
        var startsAt: Duration,
        /** True in the first map of a deployment, before which nothing can have been lent. */
        var isFullAtStart: Boolean,
        val buckets: HashMap<String, Bucket> = HashMap(),
    ) {
        fun startLevel(rate: AccountRate): Double = if (isFullAtStart) rate.burst else 0.0
    }

    private companion object {
        /** Slice ids hold the epoch above this bit, so that a late return never matches a slice of another owner. */
        const val EPOCH_SHIFT = 32
        const val FIRST_EPOCH = 1L
    }
}
