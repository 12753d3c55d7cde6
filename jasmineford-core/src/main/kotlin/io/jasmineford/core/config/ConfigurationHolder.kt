package io.jasmineford.core.config

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The configuration in force on this VM. The generation only rises, whatever a stale list says.
 *
 * @param maxProofAge age of the proof of being current past which keyed requests are refused.
 */
class ConfigurationHolder(
    private val clock: MonotonicClock,
    private val maxProofAge: Duration = 2.seconds,
) {
    private var provedAt: Duration? = null

    /** The configuration in force. */
    var current: Configuration = Configuration()
        private set

    /** Takes [seen] into force unless it is older. Returns true when the generation rose. */
    fun offer(seen: Configuration): Boolean {
        val isNewer = seen.generation > current.generation
        if (isNewer) current = seen
        return isNewer
    }

    /**
     * Records that [generation] was the newest at [askedAt], the time before the question was sent. A proof for another
     * generation than the one in force is ignored.
     */
    fun prove(generation: Long, askedAt: Duration) {
        if (generation != current.generation) return
        provedAt = maxOf(provedAt ?: askedAt, askedAt)
    }

    /** Age of the newest proof; infinite before the first one. */
    fun proofAge(): Duration = provedAt?.let { clock.now() - it } ?: Duration.INFINITE

    /** Whether keyed requests may be admitted. */
    fun isProvedCurrent(): Boolean = proofAge() <= maxProofAge
}
