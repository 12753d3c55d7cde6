package io.jasmineford.core.limit

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/** State of a bucket that its owner passes on by plan: [level] tokens not lent, [lent] that may still be used. */
data class BucketLevel(val name: String, val level: Double, val lent: Double)

/**
 * State of the buckets of a shard that its owner passes on by plan.
 *
 * @property epoch epoch of the next ownership, which alone may use this state.
 * @property isRestFull whether buckets that are not in [levels] are full, since nobody ever lent from them.
 */
data class ShardLevels(val shard: Int, val epoch: Long, val levels: List<BucketLevel>, val isRestFull: Boolean)

/**
 * Buckets of the shards of this VM.
 *
 * After another owner, a bucket starts empty when this VM got the shard: slices of a lost owner ended with its right, so all that it lent
 * counts as used. After a planned change of owner its slices may still be in use, so the bucket starts when the last of
 * them has ended, unless [takeOver] brings the state. Without a right, only the fallback share is given out.
 *
 * @param rateOf rate and burst of an account in force here; null when it has none.
 */
class BucketOwner(
    private val rights: LimitRights,
    private val clock: MonotonicClock,
    private val settings: SliceSettings,
    private val rateOf: (name: String) -> AccountRate?,
) {
    private val owned = HashMap<Int, Ownership>()
    private val received = HashMap<Int, ShardLevels>()

    /** Lends up to [units] of [name] to [borrower]; null when this VM may not act for it. */
    fun borrow(name: String, borrower: String, units: Double): SliceGrant? {
        val now = clock.now()
        val shard = rights.shard(name)
        val isFallback = !rights.mayAct(shard) && rights.mayUseFallback(shard)
        if (!isFallback && !rights.mayAct(shard)) return null
        val ownership = ownership(shard, now) ?: return null
        if (now < ownership.startsAt) return SliceGrant(slice = null, retryAfter = settings.minRetry)
        val full = rateOf(name) ?: return null
        val rate = if (isFallback) full.fallbackShare() else full.without(rights.withheldShares(shard))
        val bucket = ownership.buckets.getOrPut(name) { bucket(rate, ownership, BucketLevel(name, ownership.startLevel(rate), 0.0)) }
        bucket.setRate(now, rate)
        return bucket.lender.borrow(now, borrower, units, if (isFallback) settings.valid else rights.rightLeft())
    }

    /** Ends slice [id]. A slice of another owner has another id and is ignored. */
    fun giveBack(name: String, id: Long, unused: Double) {
        owned[rights.shard(name)]?.buckets?.get(name)?.lender?.giveBack(clock.now(), id, unused)
    }

    /** Notes shards that this VM got, and returns the state of those that it handed over. */
    fun poll(): List<ShardLevels> {
        val now = clock.now()
        val own = rights.ownShards().toSet()
        val lost = owned.keys - own
        // The state is valid only for the owner that directly follows this one. Other changes of the map may have come
        // since, and the new owner may have replayed its journals already.
        val handedOver = lost.filter { rights.isOwnRelease(it) }.mapNotNull { shard ->
            val ownership = owned.getValue(shard)
            val epoch = rights.owner(shard)?.second ?: return@mapNotNull null
            ShardLevels(shard, epoch, levels(ownership, now), ownership.isFullAtStart)
        }
        owned.keys.removeAll(lost)
        own.forEach { ownership(it, now) }
        return handedOver
    }

    /** Takes the state that the owner before passed on, maybe before this VM has read the map. */
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
        // Slices of the owner before that may still be in use count as lent here until they have surely ended.
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
            // The time up to now counts at the rate that was in force.
            lender.advance(now)
            supply.rate = rate
            lender.advance(now)
        }
    }

    private data class Ownership(
        val epoch: Long,
        val incarnation: Long,
        var startsAt: Duration,
        /** In the first map of a deployment, nobody can have lent anything before. */
        var isFullAtStart: Boolean,
        val buckets: HashMap<String, Bucket> = HashMap(),
    ) {
        fun startLevel(rate: AccountRate): Double = if (isFullAtStart) rate.burst else 0.0
    }

    private companion object {
        /** Room for the slices of one ownership, so that a return never ends a slice of another owner. */
        const val EPOCH_SHIFT = 32
        const val FIRST_EPOCH = 1L
    }
}
