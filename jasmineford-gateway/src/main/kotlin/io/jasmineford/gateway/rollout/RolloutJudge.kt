package io.jasmineford.gateway.rollout

import kotlin.math.sqrt

/** Evidence that the new version is bad: the test that failed, and the counts that led to it. */
data class RolloutEvidence(val test: String, val route: String, val new: RouteTally, val old: RouteTally)

/**
 * Compares the new version with the old one on the same route in the same period.
 *
 * Both versions are slow or fail while the service is overloaded, so only a difference between them counts. A route
 * with few calls to the old version is compared with all routes of the old version.
 */
internal object RolloutJudge {
    /**
     * Returns the evidence that [new] is bad compared with [old], counts by route; null if there is none.
     *
     * @param isSamePeriod whether the calls to the old version were made at the same time; otherwise a higher load
     * alone may make the new version slower.
     */
    fun evidence(
        new: Map<String, RouteTally>,
        old: Map<String, RouteTally>,
        isSamePeriod: Boolean,
    ): RolloutEvidence? {
        val allOld = old.values.reduceOrNull(RouteTally::plus) ?: RouteTally(ALL_ROUTES, isNew = false)
        val allNew = new.values.reduceOrNull(RouteTally::plus)?.copy(route = ALL_ROUTES)
        val pairs = new.values.map { tally ->
            val own = old[tally.route]
            val isOwn = own != null && own.ended >= MIN_OLD_SAMPLES
            Comparison(tally, if (isOwn) own else allOld, isSameRoute = isOwn)
        } + listOfNotNull(allNew?.let { Comparison(it, allOld, isSameRoute = false) })
        return pairs.firstNotNullOfOrNull { it.evidence(isSamePeriod) }
    }

    private class Comparison(val new: RouteTally, val old: RouteTally, val isSameRoute: Boolean) {
        fun evidence(isSamePeriod: Boolean): RolloutEvidence? {
            val test = when {
                old.ended < MIN_OLD_SAMPLES -> null
                isClearlyHigher(new.failed, old.failed, MIN_FAILURE_DIFFERENCE) -> FAILURES
                isSamePeriod && isClearlyHigher(new.slow, old.slow, MIN_SLOW_DIFFERENCE) -> "slow-responses"
                isSameRoute && isMeanSlower(if (isSamePeriod) SLOWER_FACTOR else LATER_SLOWER_FACTOR) -> "mean-time"
                else -> null
            }
            return test?.let { RolloutEvidence(it, new.route, new, old) }
        }

        private fun isClearlyHigher(newCount: Long, oldCount: Long, minDifference: Double): Boolean {
            if (new.ended < MIN_SAMPLES || newCount < MIN_BAD) return false
            val difference = newCount.toDouble() / new.ended - oldCount.toDouble() / old.ended
            // One more call of either outcome keeps the variance above zero.
            val pooled = (newCount + oldCount + 1).toDouble() / (new.ended + old.ended + 2)
            val deviation = sqrt(pooled * (1 - pooled) * (1.0 / new.ended + 1.0 / old.ended))
            return difference > minDifference && difference > MIN_DEVIATIONS * deviation
        }

        private fun isMeanSlower(factor: Double): Boolean {
            if (new.ended < MIN_TIME_SAMPLES || old.micros <= 0) return false
            val ratio = new.micros.toDouble() / new.ended / (old.micros.toDouble() / old.ended)
            val slowPart = new.slow.toDouble() / new.ended - old.slow.toDouble() / old.ended
            return ratio > factor && slowPart > MIN_SLOW_DIFFERENCE
        }
    }

    /** Name of the test of failed calls. */
    const val FAILURES = "failures"
    private const val ALL_ROUTES = "*"

    /** Responses of the old version without which there is nothing to compare with. */
    private const val MIN_OLD_SAMPLES = 10L
    private const val MIN_SAMPLES = 6L
    private const val MIN_TIME_SAMPLES = 10L

    /** Fewer bad responses may be chance. */
    private const val MIN_BAD = 4L
    private const val MIN_FAILURE_DIFFERENCE = 0.05
    private const val MIN_SLOW_DIFFERENCE = 0.15

    /** Standard deviations; the test is made several times a second on several routes. */
    private const val MIN_DEVIATIONS = 4.0
    private const val SLOWER_FACTOR = 2.5

    /** After the calls have moved, the load may be higher than when the old version was measured. */
    private const val LATER_SLOWER_FACTOR = 4.0
}
