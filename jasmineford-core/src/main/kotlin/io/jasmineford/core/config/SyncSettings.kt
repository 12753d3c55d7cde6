package io.jasmineford.core.config

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Times of configuration distribution. The defaults are parts of the bound on the proof's age, so that two missed rounds
 * still leave time for a third.
 *
 * @property maxProofAge age of the proof past which keyed requests are refused.
 * @property readEvery time between a watcher's reads of the head.
 * @property askAge age of the proof at which a VM that doesn't watch asks a watcher.
 * @property censusAge age of the proof at which a watcher asks all VMs whether they published.
 * @property fallbackAge age of the proof at which a VM that doesn't watch reads the head itself.
 * @property retryEvery time between two attempts of the same kind.
 * @property slowPollEvery time between reads of the head by a VM that doesn't watch, whatever its proof.
 * @property listEvery time between reads of the list of leases.
 * @property writeLateness longest time after which a write may still take effect that its sender gave up.
 */
data class SyncSettings(
    val maxProofAge: Duration = 2.seconds,
    val readEvery: Duration = maxProofAge * 0.3,
    val askAge: Duration = maxProofAge * 0.6,
    val censusAge: Duration = maxProofAge * 0.4,
    val fallbackAge: Duration = maxProofAge * 0.7,
    val retryEvery: Duration = maxProofAge / 8,
    val slowPollEvery: Duration = 30.seconds,
    val listEvery: Duration = 10.seconds,
    val writeLateness: Duration = 10.seconds,
)
