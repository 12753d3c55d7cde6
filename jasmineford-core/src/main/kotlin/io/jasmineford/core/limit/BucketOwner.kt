package io.jasmineford.core.limit

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/** State of a bucket that its owner passes on by plan: [level] tokens not lent, [lent] that may still be used. */
data class BucketLevel(val name: String, val level: Double, val lent: Double)

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

    /** Notes shards that this VM got, and returns the state of those that it handed over, by shard. */
    fun poll(): Map<Int, List<BucketLevel>> {
        val now = clock.now()
        val own = rights.ownShards().toSet()
        own.forEach { ownership(it, now) }
        val lost = owned.keys - own
        return lost.associateWith { levels(owned.getValue(it), now) }
            .filterKeys { rights.isReleased(it) }
            .also { owned.keys.removeAll(lost) }
    }

    /** Takes the [levels] that the owner before passed on when it released [shard]; ignored once the buckets started. */
    fun takeOver(shard: Int, levels: List<BucketLevel>) {
        val now = clock.now()
        val ownership = owned[shard] ?: return
        if (now >= ownership.startsAt || ownership.buckets.isNotEmpty()) return
        for (level in levels) {
            val rate = rateOf(level.name)?.without(rights.withheldShares(shard)) ?: continue
            ownership.buckets[level.name] = bucket(rate, ownership.copy(startsAt = now), level)
        }
        ownership.startsAt = now
    }

    private fun ownership(shard: Int, now: Duration): Ownership? {
        val (holder, epoch) = rights.owner(shard) ?: return null
        if (shard !in rights.ownShards()) return null
        val known = owned[shard]?.takeIf { it.epoch == epoch && it.incarnation == holder.incarnation }
        if (known != null) return known
        val startsAt = if (rights.isReleased(shard)) now + settings.valid * 2 else now
        return Ownership(epoch, holder.incarnation, startsAt).also { owned[shard] = it }
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
        val buckets: HashMap<String, Bucket> = HashMap(),
    ) {
        /** Full in the first map of a deployment, when nobody can have lent anything before. */
        fun startLevel(rate: AccountRate): Double = if (epoch == FIRST_EPOCH) rate.burst else 0.0
    }

    private companion object {
        /** Room for the slices of one ownership, so that a return never ends a slice of another owner. */
        const val EPOCH_SHIFT = 32
        const val FIRST_EPOCH = 1L
    }
}
