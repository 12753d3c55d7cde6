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
 * @property shards number of shards; fixed for the life of a deployment.
 */
data class MembershipSettings(
    val timeToLive: Duration = 6.seconds,
    val renewEvery: Duration = 2.seconds,
    val margin: Duration = 1.seconds,
    val listEvery: Duration = 1.seconds,
    val shards: Int = 48,
)
