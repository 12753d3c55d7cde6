package io.jasmineford.gateway.endpoint

import kotlin.time.Duration

/** Usual time of a call by route, over all endpoints, to which the time of a single answer is compared. */
class UsualTimes {
    private val means = HashMap<String, Duration>()

    /**
     * Takes an answer of [route] and returns its time in parts of the usual one.
     *
     * @param time time of the call, or of one event of a stream, as streams differ in length.
     */
    fun relative(route: String, time: Duration): Double {
        val mean = means[route] ?: time
        means[route] = mean + (time - mean) * WEIGHT
        return if (mean > Duration.ZERO) time / mean else 1.0
    }

    private companion object {
        /** Weight of the newest answer: some dozen answers, thus several endpoints, make the mean. */
        const val WEIGHT = 0.03
    }
}
