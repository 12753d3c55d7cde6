package io.jasmineford.core.config

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The configuration in force on this VM. Its generation never decreases, even when a stale configuration is read.
 *
 * A *proof* (generation g, time t on this VM's clock) states that no generation above g had been accepted by t.
 * Requests with a key are admitted until t + [maxProofAge]. So a key whose withdrawal was accepted at time A is refused
 * from A + [maxProofAge] on by every VM, also by one that did not learn of the withdrawal.
 *
 * @param maxProofAge age of the proof above which requests with a key are refused.
 */
class ConfigurationHolder(
    private val clock: MonotonicClock,
    private val maxProofAge: Duration = 2.seconds,
) {
    private var provedAt: Duration? = null
    private var pendingProof: Pair<Long, Duration>? = null

    /** The configuration in force. */
    var current: Configuration = Configuration()
        private set

    /** Newest generation known to exist; it may not be in force here yet. */
    var newestKnown: Long = 0
        private set

    /** Puts [next] into force if its generation is higher, and returns whether it is. */
    fun putInForce(next: Configuration): Boolean {
        val isNewer = next.generation > current.generation
        if (isNewer) {
            current = next
            observe(next.generation)
            pendingProof?.let { (generation, askedAt) -> prove(generation, askedAt) }
        }
        return isNewer
    }

    /** Records that [generation] exists. */
    fun observe(generation: Long) {
        newestKnown = maxOf(newestKnown, generation)
    }

    /**
     * Records that [generation] was the newest one at [askedAt], a time before the request was sent. A proof for an
     * older generation than the one in force is ignored; one for a newer generation takes effect once that is in force.
     */
    fun prove(generation: Long, askedAt: Duration) {
        observe(generation)
        when {
            generation == current.generation -> {
                provedAt = maxOf(provedAt ?: askedAt, askedAt)
                pendingProof = null
            }

            generation > current.generation -> pendingProof = generation to askedAt
        }
    }

    /** Age of the latest proof; infinite before the first one. */
    fun proofAge(): Duration = provedAt?.let { clock.now() - it } ?: Duration.INFINITE

    /** Whether requests with a key may be admitted. */
    fun isProvedCurrent(): Boolean = proofAge() <= maxProofAge
}
