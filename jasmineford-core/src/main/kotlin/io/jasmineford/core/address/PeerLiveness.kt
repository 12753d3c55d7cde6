package io.jasmineford.core.address

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Results of liveness probes, used only for answers to address requests and never to grant ownership or admission. A VM
 * is named only if a probe that was sent less than [freshFor] ago succeeded, so a dead or stopping VM disappears from
 * the answers without a list of dead VMs being distributed.
 *
 * @param freshFor together with the duration of one probe, less than the 2 s after which no answer may name a dead VM.
 */
class PeerLiveness(
    private val clock: MonotonicClock,
    private val freshFor: Duration = 1_500.milliseconds,
) {
    private val results = HashMap<String, Result>()

    /** Records the result of a probe that was sent to [vm] at [askedAt]; results of earlier probes are ignored. */
    fun record(vm: String, askedAt: Duration, acceptsCalls: Boolean) {
        val known = results[vm]
        if (known == null || askedAt >= known.askedAt) results[vm] = Result(askedAt, acceptsCalls)
    }

    /** Whether [vm] accepts calls; null when there is no recent result and the VM must be probed first. */
    fun acceptsCalls(vm: String): Boolean? =
        results[vm]?.takeIf { clock.now() - it.askedAt < freshFor }?.acceptsCalls

    /** Removes the results of VMs that are not in [vms]. */
    fun retain(vms: Set<String>) {
        results.keys.retainAll(vms)
    }

    private data class Result(val askedAt: Duration, val acceptsCalls: Boolean)
}
