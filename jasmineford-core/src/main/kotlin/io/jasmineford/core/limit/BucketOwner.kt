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
 * @property isRestFull whether buckets that are not in [levels] are full, since nothing was ever lent from them.
 */
data class ShardLevels(val shard: Int, val epoch: Long, val levels: List<BucketLevel>, val isRestFull: Boolean)

/**
 * Token buckets of the shards that this VM owns.
 *
 * After a takeover from a lost owner a bucket starts empty at once: the lost owner's slices expired with its lease, and
 * all that it lent counts as used. After a planned hand-over the previous owner's slices may still be in use, so the
 * bucket starts when the last of them has expired, unless [takeOver] delivers its state. Without a valid lease, only
 * the fallback share is lent.
 *
 * @param rateOf rate and burst in force for an account; null when it has none.
 */
class BucketOwner(
    private val rights: LimitRights,
    private val clock: MonotonicClock,
    private val settings: SliceSettings,
    private val rateOf: (name: String) -> AccountRate?,
) {
    private val owned = HashMap<Int, Ownership>()
    private val received = HashMap<Int, ShardLevels>()

    /** Lends up to [units] of bucket [name] to [borrower]; null when this VM may not lend from it. */
    fun borrow(name: String, borrower: String, units: Double): SliceGrant? {
        val now = clock.now()
        val shard = rights.shard(name)
        val isFallback = !rights.isActiveOwner(shard) && rights.mayUseFallback(shard)
        if (!isFallback && !rights.isActiveOwner(shard)) return null
        val ownership = ownership(shard, now) ?: return null
        if (now < ownership.startsAt) return SliceGrant(slice = null, retryAfter = settings.minRetry)
        val full = rateOf(name) ?: return null
        val rate = if (isFallback) full.fallbackShare() else full.without(rights.withheldShares(shard))
        val bucket = ownership.buckets.getOrPut(name) { bucket(rate, ownership, BucketLevel(name, ownership.startLevel(rate), 0.0)) }
        bucket.setRate(now, rate)
        return bucket.lender.borrow(now, borrower, units, if (isFallback) settings.valid else rights.remainingLease())
    }

    /** Takes slice [id] back. Slices of other owners have other ids and are ignored. */
    fun giveBack(name: String, id: Long, unused: Double) {
        owned[rights.shard(name)]?.buckets?.get(name)?.lender?.giveBack(clock.now(), id, unused)
    }

    /** Registers newly owned shards, and returns the state of those that this VM handed over. */
    fun poll(): List<ShardLevels> {
        val now = clock.now()
        val own = rights.ownShards().toSet()
        val lost = owned.keys - own
        // The state is valid only for the direct successor. The map may have changed again since, for example because
        // the successor has already replayed the journals.
        val handedOver = lost.filter { rights.isOwnRelease(it) }.mapNotNull { shard ->
            val ownership = owned.getValue(shard)
            val epoch = rights.owner(shard)?.second ?: return@mapNotNull null
            ShardLevels(shard, epoch, levels(ownership, now), ownership.isFullAtStart)
        }
        owned.keys.removeAll(lost)
        own.forEach { ownership(it, now) }
        return handedOver
    }

    /** Stores the state sent by the previous owner, which may arrive before this VM has read the new map. */
    fun takeOver(state: ShardLevels) {
        received[state.shard] = state
        ownership(state.shard, clock.now())
    }

    private fun useReceived(shard: Int, ownership: Ownership, now: Duration) {
        val state = received[shard]?.takeIf { it.epoch == ownership.epoch } ?: return
        received.remove(shard)
        if (now >= ownership.startsAt || ownership.buckets.isNotEmpty()) return
        ownership.startsAt = now
        ownership.isFullAtStart = state.isRestFull
        for (level in state.levels) {
            val rate = rateOf(level.name)?.without(rights.withheldShares(shard)) ?: continue
            ownership.buckets[level.name] = bucket(rate, ownership, level)
        }
    }

    private fun ownership(shard: Int, now: Duration): Ownership? {
        val (holder, epoch) = rights.owner(shard) ?: return null
        if (shard !in rights.ownShards()) return null
        val known = owned[shard]?.takeIf { it.epoch == epoch && it.incarnation == holder.incarnation }
        if (known != null) return known.also { useReceived(shard, it, now) }
        val startsAt = if (rights.isReleased(shard)) now + settings.valid * 2 else now
        val next = Ownership(epoch, holder.incarnation, startsAt, isFullAtStart = epoch == FIRST_EPOCH)
        owned[shard] = next
        useReceived(shard, next, now)
        return next
    }

    private fun bucket(rate: AccountRate, ownership: Ownership, from: BucketLevel): Bucket {
        val supply = BucketSupply(rate, ownership.startsAt, startLevel = from.level + from.lent)
        val lender = SliceLender(supply, settings, firstId = ownership.epoch shl EPOCH_SHIFT)
        // Slices of the previous owner that may still be in use count as lent until they have certainly expired.
        if (from.lent >= 1.0) lender.borrow(ownership.startsAt, "owner before", kotlin.math.ceil(from.lent), settings.valid)
        return Bucket(supply, lender)
    }

    private fun levels(ownership: Ownership, now: Duration): List<BucketLevel> =
        ownership.buckets.map { (name, bucket) ->
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

    private data class Ownership(
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
