package io.jasmineford.core.lease

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Times of the ownership protocol.
 *
 * @property timeToLive how long a renewal gives the right to act, from before it was sent, on the holder's clock.
 * @property renewEvery time between renewals.
 * @property margin time beyond [timeToLive] for which another VM must see the lease unchanged before it takes over.
 * @property listEvery time between reads of all leases and the map.
 * @property promiseInterval time for which a promise not to revoke holds.
 * @property vmListEvery time between reads of the platform's VM list.
 * @property goneAfter time for which a VM must be missing from the platform's VM list until it counts as gone.
 * @property shards number of shards; fixed for the life of a deployment.
 */
data class MembershipSettings(
    val timeToLive: Duration = 6.seconds,
    val renewEvery: Duration = 2.seconds,
    val margin: Duration = 1.seconds,
    val listEvery: Duration = 1.seconds,
    val promiseInterval: Duration = timeToLive,
    val vmListEvery: Duration = 10.seconds,
    val goneAfter: Duration = 30.seconds,
    val shards: Int = 48,
)

/** Time for which a lease must be seen unchanged until its holder has surely lost its right. */
val MembershipSettings.takeoverWait: Duration get() = timeToLive + margin

/**
 * Time after its start in which a process does nothing that an earlier process of the VM may have promised not to do.
 * The earlier process may have been paused for up to [MembershipSettings.timeToLive] when it last promised.
 */
val MembershipSettings.silenceAfterStart: Duration get() = takeoverWait + promiseInterval

/**
 * Longest time from the end of all faults until each shard has an owner that may act: the longest wait for the rights of
 * lost processes to end, the silence of restarted ones, and a few rounds of reads and renewals.
 */
val MembershipSettings.settleTime: Duration get() = takeoverWait + silenceAfterStart + renewEvery + listEvery * 4
