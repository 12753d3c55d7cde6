package io.jasmineford.core.address

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Results of probes, for address answers only; they never grant a right. A VM is named only when a probe that was sent less
 * than [freshFor] ago succeeded, so a dead or leaving VM leaves the answers without a list that would have to be spread.
 *
 * @param freshFor with the time of one probe below the 2 s after which no answer may name a dead VM.
 */
class PeerLiveness(
    private val clock: MonotonicClock,
    private val freshFor: Duration = 1_500.milliseconds,
) {
    private val results = HashMap<String, Result>()

    /** Records whether [vm] takes work, as told by a probe that was sent at [askedAt]. */
    fun record(vm: String, askedAt: Duration, takesWork: Boolean) {
        val known = results[vm]
        if (known == null || askedAt >= known.askedAt) results[vm] = Result(askedAt, takesWork)
    }

    /** Whether [vm] takes work; null when that must be asked first. */
    fun takesWork(vm: String): Boolean? =
        results[vm]?.takeIf { clock.now() - it.askedAt < freshFor }?.takesWork

    /** Forgets VMs that are not in [vms]. */
    fun retain(vms: Set<String>) {
        results.keys.retainAll(vms)
    }

    private data class Result(val askedAt: Duration, val takesWork: Boolean)
}
