package io.jasmineford.core.endpoint

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of [CircuitBreaker].
 *
 * @property failuresToOpen consecutive failures that open the circuit.
 * @property firstOpenTime open time after the first opening, before jitter; doubles at each further opening.
 * @property maxOpenTime longest open time, before jitter.
 */
data class CircuitBreakerSettings(
    val failuresToOpen: Int = 2,
    val firstOpenTime: Duration = 500.milliseconds,
    val maxOpenTime: Duration = 10.seconds,
)

/** Circuit breaker of one endpoint on one VM: closed, open for a jittered time, then half-open with one trial call. */
class CircuitBreaker(private val settings: CircuitBreakerSettings, private val random: Random) {
    private var failures = 0
    private var openings = 0
    private var openUntil = Duration.ZERO

    /** Whether the circuit is closed. */
    val isClosed: Boolean get() = openings == 0

    /** Allowed calls in flight at [now]: none while open, one trial while half-open, unlimited while closed. */
    fun allowedCalls(now: Duration): Int = when {
        openings == 0 -> Int.MAX_VALUE
        now < openUntil -> 0
        else -> 1
    }

    /** Records an answer, which closes the circuit. */
    fun succeeded() {
        failures = 0
        openings = 0
    }

    /** Records a failure at [now]. Failures of calls that were in flight together open the circuit only once. */
    fun failed(now: Duration) {
        failures++
        val isTrialFailed = openings > 0 && now >= openUntil
        if (!isTrialFailed && (openings > 0 || failures < settings.failuresToOpen)) return
        val time = settings.firstOpenTime * (1 shl openings.coerceAtMost(MAX_DOUBLINGS))
        openings++
        // Jitter keeps the VMs from retrying the endpoint at the same time.
        openUntil = now + minOf(time, settings.maxOpenTime) * (1 + random.nextDouble())
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}
