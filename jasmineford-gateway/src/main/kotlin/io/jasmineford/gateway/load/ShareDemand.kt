package io.jasmineford.gateway.load

/**
 * Demand of an account that competes for a shared capacity, in calls per second.
 *
 * @property used part of the capacity that the account has already been given; it counts toward its share.
 * @property wanted further calls per second that it asks for.
 */
data class ShareDemand(val used: Double, val wanted: Double)

/**
 * Max-min fair division of [capacity]: returns the level up to which each account is served, or infinity if all demands
 * fit. An account gets its demand where that is below the level, so unused shares go to the others.
 */
internal fun fairLevel(demands: List<ShareDemand>, capacity: Double): Double {
    if (demands.sumOf { it.wanted } <= capacity) return Double.POSITIVE_INFINITY
    var low = 0.0
    var high = demands.maxOf { it.used + it.wanted }
    repeat(BISECTIONS) {
        val level = (low + high) / 2
        if (demands.sumOf { it.servedAt(level) } > capacity) high = level else low = level
    }
    return low
}

/** Part of the further calls that is served when accounts are served up to [level]. */
internal fun ShareDemand.servedAt(level: Double): Double = (level - used).coerceIn(0.0, wanted)

/** Leaves an error of less than a thousandth of the largest demand. */
private const val BISECTIONS = 12
