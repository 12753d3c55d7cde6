package io.jasmineford.core.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals of the distribution of configurations. The defaults are fractions of [maxProofAge] that leave time for a
 * third round after two failed ones.
 *
 * @property maxProofAge age of the proof above which requests with a key are refused.
 * @property readEvery time between a watcher's reads of the head.
 * @property askAge age of the proof at which a follower asks its watcher.
 * @property outageCheckAge age of the proof at which a watcher asks all VMs whether they have published.
 * @property fallbackAge age of the proof at which a follower reads the head itself.
 * @property retryEvery time between two attempts of the same kind.
 * @property slowPollEvery time between a follower's reads of the head regardless of its proof.
 * @property listEvery time between reads of the list of leases in a small fleet.
 * @property writeLateness longest time for which a write that its sender has given up may still take effect.
 */
data class SyncSettings(
    val maxProofAge: Duration = 2.seconds,
    val readEvery: Duration = maxProofAge * 0.3,
    val askAge: Duration = maxProofAge * 0.6,
    val outageCheckAge: Duration = maxProofAge * 0.4,
    val fallbackAge: Duration = maxProofAge * 0.7,
    val retryEvery: Duration = maxProofAge / 8,
    val slowPollEvery: Duration = 30.seconds,
    val listEvery: Duration = 10.seconds,
    val writeLateness: Duration = 10.seconds,
)
