package io.jasmineford.core.endpoint

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Rules of [EndpointHealth].
 *
 * @property openAfter failures in a row after which an endpoint gets no calls for a while.
 * @property firstOpen time without calls after the first opening; it doubles up to [longestOpen].
 */
data class HealthSettings(
    val openAfter: Int = 2,
    val firstOpen: Duration = 500.milliseconds,
    val longestOpen: Duration = 10.seconds,
)

/** Circuit breaker of one endpoint on one VM: closed, open for a jittered time, then half open with one trial call. */
class EndpointHealth(private val settings: HealthSettings, private val random: Random) {
    private var failures = 0
    private var openings = 0
    private var openUntil = Duration.ZERO
    private var isTrialOpen = false

    /** Whether calls are going through as usual. */
    val isHealthy: Boolean get() = openings == 0

    /** Most calls in flight at [now]: none while open, one trial while half open, else no limit. */
    fun limit(now: Duration): Int = when {
        openings == 0 -> Int.MAX_VALUE
        now < openUntil -> 0
        else -> 1
    }

    /** Takes an answer, which closes the circuit. */
    fun succeeded() {
        failures = 0
        openings = 0
    }

    /** Takes a failure at [now]. The failures of calls that were in flight together open the circuit only once. */
    fun failed(now: Duration) {
        failures++
        val isTrialFailed = openings > 0 && now >= openUntil
        if (!isTrialFailed && (openings > 0 || failures < settings.openAfter)) return
        val time = settings.firstOpen * (1 shl openings.coerceAtMost(MAX_DOUBLINGS))
        openings++
        // Jitter keeps the VMs from trying the endpoint at the same instant.
        openUntil = now + minOf(time, settings.longestOpen) * (1 + random.nextDouble())
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
