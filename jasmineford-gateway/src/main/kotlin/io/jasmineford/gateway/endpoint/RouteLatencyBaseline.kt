package io.jasmineford.gateway.endpoint

import kotlin.time.Duration

/** Mean response time by route over all endpoints, the baseline for the slowness of single endpoints. */
class RouteLatencyBaseline {
    private val means = HashMap<String, Duration>()

    /**
     * Records a response on [route] and returns its [time] relative to the mean before it.
     *
     * @param time duration of the call, or the mean per event of a stream, as streams differ in length.
     */
    fun relative(route: String, time: Duration): Double {
        val mean = means[route] ?: time
        means[route] = mean + (time - mean) * WEIGHT
        return if (mean > Duration.ZERO) time / mean else 1.0
    }

    private companion object {
        /** Weight of the newest sample: some dozen responses, hence several endpoints, determine the mean. */
        const val WEIGHT = 0.03
    }
}
