package io.jasmineford.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Timing of the ownership protocol.
 *
 * @property timeToLive validity of a lease renewal, counted on the holder's clock from before the write was sent.
 * @property renewEvery interval between renewals.
 * @property margin time beyond [timeToLive] for which another VM must see the lease unchanged before it takes over.
 * @property listEvery interval between reads of all leases and the map.
 * @property promiseInterval validity of a promise not to revoke a lease.
 * @property vmListEvery interval between reads of the platform's VM list.
 * @property unlistedTimeout time for which a VM must be missing from the platform's VM list before it counts as
 *   deleted.
 * @property shards number of shards; fixed for the life of a deployment.
 */
data class MembershipSettings(
    val timeToLive: Duration = 6.seconds,
    val renewEvery: Duration = 2.seconds,
    val margin: Duration = 1.seconds,
    val listEvery: Duration = 1.seconds,
    val promiseInterval: Duration = timeToLive,
    val vmListEvery: Duration = 10.seconds,
    val unlistedTimeout: Duration = 30.seconds,
    val shards: Int = 48,
)

/** Time for which a lease must be seen unchanged before it has certainly expired on its holder's clock. */
val MembershipSettings.takeoverDelay: Duration get() = timeToLive + margin

/**
 * Quiet period after a process start, in which it does not revoke leases: an earlier process of the VM may have
 * promised not to. That process may have been paused for up to [MembershipSettings.timeToLive] when it last promised.
 */
val MembershipSettings.startQuietPeriod: Duration get() = takeoverDelay + promiseInterval

/**
 * Upper bound of the time from the end of all faults until each shard has an owner with a valid lease: the expiry of
 * leases of lost processes, the quiet period of restarted ones, and a few rounds of reads and renewals.
 */
val MembershipSettings.convergenceTime: Duration get() = takeoverDelay + startQuietPeriod + renewEvery + listEvery * 4
