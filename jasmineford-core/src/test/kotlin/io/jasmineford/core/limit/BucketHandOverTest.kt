package io.jasmineford.core.limit

import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.lease.ShardMap
import io.jasmineford.core.lease.ShardOwner
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.holder
import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

class BucketHandOverTest {
    private val clock = VirtualClock(100.seconds)
    private val account = AccountRate(ratePerSecond = 0.01, burst = 1.0)
    private val here = lease("vm-1")
    private val next = lease("vm-2")
    private var nonce = 0

    /** Without the state, the new owner's bucket starts empty and refuses an account that is within its rate. */
    @Test
    fun `bucket levels are handed over when the map changed again before this VM saw its own release`() {
        val membership = membershipWithOneShard()
        val owner = BucketOwner(QuantityOwnership(membership, shards = 1), clock, SliceSettings()) { account }
        owner.poll()
        val release = assertNotNull(membership.release(mapOf(0 to next)))
        val released = release.map.shards.single()
        // The new owner has already replayed the journals, which changes the map once more, before this VM reads it.
        val later = released.copy(journals = listOf("vm-2-1"), isReleased = false)
        membership.state = membership.state.copy(
            map = release.map.copy(epoch = release.map.epoch + 1, shards = listOf(later)),
            mapWrite = null,
        )
        assertEquals(listOf(ShardLevels(0, released.epoch, emptyList(), isUnlistedFull = true)), owner.poll())
    }

    /** Levels from before an intermediate owner would lend again what that owner has already lent. */
    @Test
    fun `bucket levels are not handed over when the shard has had another owner since the release`() {
        val membership = membershipWithOneShard()
        val owner = BucketOwner(QuantityOwnership(membership, shards = 1), clock, SliceSettings()) { account }
        owner.poll()
        val release = assertNotNull(membership.release(mapOf(0 to next)))
        val third = ShardOwner("vm-3", 1, release.map.epoch + 1, journals = listOf("vm-3-1"), isReleased = true)
        membership.state = membership.state.copy(
            map = release.map.copy(epoch = release.map.epoch + 1, shards = listOf(third)),
            mapWrite = null,
        )
        assertEquals(emptyList(), owner.poll())
    }

    private fun membershipWithOneShard(): Membership {
        val settings = MembershipSettings(shards = 1)
        val membership = Membership(here.identity, settings, clock, { "n${nonce++}" }, { 1 })
        val shard = ShardOwner("vm-1", 1, epoch = 1, journals = listOf("vm-1-1"))
        val map = ShardMap(epoch = 1, shards = listOf(shard), members = setOf(here.holder, next.holder))
        membership.state = membership.state.copy(map = map, leaseValidUntil = clock.now() + 5.seconds)
        return membership
    }

    private fun lease(vm: String) = Lease(VmIdentity(vm, "zone", vm, vm, vm), incarnation = 1, renewal = 1)
}
