package io.jasmineford.core.config

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The configuration in force on this VM. The generation only rises, whatever a stale list says.
 *
 * A *proof* (generation g, time t on this VM's clock) states that every generation above g was accepted, if at all, after
 * t. Keyed requests are admitted until t + [maxProofAge], so a key whose withdrawal was accepted at a time A stops before
 * A + [maxProofAge] on every VM, whether or not the VM hears of the withdrawal.
 *
 * @param maxProofAge age of the proof past which keyed requests are refused.
 */
class ConfigurationHolder(
    private val clock: MonotonicClock,
    private val maxProofAge: Duration = 2.seconds,
) {
    private var provedAt: Duration? = null
    private var waitingProof: Pair<Long, Duration>? = null

    /** The configuration in force. */
    var current: Configuration = Configuration()
        private set

    /** The newest generation that this VM has heard of; it may not be in force here yet. */
    var newestKnown: Long = 0
        private set

    /** Takes [seen] into force unless it is older. Returns true when the generation rose. */
    fun offer(seen: Configuration): Boolean {
        val isNewer = seen.generation > current.generation
        if (isNewer) {
            current = seen
            heardOf(seen.generation)
            waitingProof?.let { (generation, askedAt) -> prove(generation, askedAt) }
        }
        return isNewer
    }

    /** Records that [generation] exists. */
    fun heardOf(generation: Long) {
        newestKnown = maxOf(newestKnown, generation)
    }

    /**
     * Records that [generation] was the newest at [askedAt], the time before the question was sent. A proof for an older
     * generation than the one in force is ignored; one for a newer generation waits until that is in force.
     */
    fun prove(generation: Long, askedAt: Duration) {
        heardOf(generation)
        when {
            generation == current.generation -> {
                provedAt = maxOf(provedAt ?: askedAt, askedAt)
                waitingProof = null
            }

            generation > current.generation -> waitingProof = generation to askedAt
        }
    }

    /** Age of the newest proof; infinite before the first one. */
    fun proofAge(): Duration = provedAt?.let { clock.now() - it } ?: Duration.INFINITE

    /** Whether keyed requests may be admitted. */
    fun isProvedCurrent(): Boolean = proofAge() <= maxProofAge
}
