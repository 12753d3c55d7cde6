package io.jasmineford.gateway.cost

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides for each service whether its calls are placed by work: always, or while the learned speeds of its endpoints
 * differ clearly.
 *
 * @param isAlwaysOn whether all services are placed by work.
 * @param endpointsOf endpoints of a service that may get calls.
 * @param onChange gets the service, whether it is placed by work now, and the 90th over the 10th percentile of speeds.
 */
internal class WorkPlacementSwitch(
    private val clock: MonotonicClock,
    private val isAlwaysOn: Boolean,
    private val endpointsOf: (service: String) -> List<EndpointState>,
    private val onChange: (service: String, isOn: Boolean, spread: Double) -> Unit,
) {
    private class Decision(val isOn: Boolean, val at: Duration)

    private val decisions = HashMap<String, Decision>()

    /** Whether calls to any service are placed by work. */
    val isOnAnywhere: Boolean get() = isAlwaysOn || decisions.values.any { it.isOn }

    /** Number of services that are placed by work because speeds differ. */
    val switchedOn: Int get() = decisions.values.count { it.isOn }

    /** Whether calls to [service] are placed by work. */
    fun isOn(service: String): Boolean = isAlwaysOn || decide(service).isOn

    /** Whether [service] was placed by work at the last decision; makes none. */
    fun isOnNow(service: String): Boolean = isAlwaysOn || decisions[service]?.isOn == true

    private fun decide(service: String): Decision {
        val before = decisions[service]
        val now = clock.now()
        if (before != null && now - before.at < DECISION_PERIOD) return before
        val spread = speedSpread(service)
        val wasOn = before?.isOn == true
        val isOn = spread > (if (wasOn) SPREAD_TO_STAY else SPREAD_TO_START)
        if (isOn != wasOn) onChange(service, isOn, spread)
        return Decision(isOn, now).also { decisions[service] = it }
    }

    private fun speedSpread(service: String): Double {
        val known = endpointsOf(service).map { it.work.speed }.filter { it.calls >= MIN_CALLS }
        val speeds = known.map { it.value }.sorted()
        return if (speeds.size < MIN_ENDPOINTS) 1.0 else percentile(speeds, HIGH) / percentile(speeds, LOW)
    }

    private fun percentile(sorted: List<Double>, fraction: Double): Double =
        sorted[((sorted.size - 1) * fraction + ROUNDING).toInt()]

    private companion object {
        val DECISION_PERIOD = 1.seconds
        const val SPREAD_TO_START = 1.4

        /** Lower than the spread to start, so that one that varies around it doesn't switch every second. */
        const val SPREAD_TO_STAY = 1.2

        /** Calls from which the speed of an endpoint is known well enough. */
        const val MIN_CALLS = 20
        const val MIN_ENDPOINTS = 2
        const val LOW = 0.1
        const val HIGH = 0.9
        const val ROUNDING = 0.5
    }
}
