package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Times since an order that takes [duration] at which its rollout has to go on.
 *
 * Calls move as late as the end allows: what has moved is exposed to a version that turns bad, and a final state can't
 * be taken back. The rest of the time has room for a second try.
 */
internal class RolloutSchedule(duration: Duration) {
    private val reserve = USUAL_RESERVE.coerceIn(duration * MIN_RESERVE_PART, duration * MAX_RESERVE_PART)

    /** Time after which a rollout that could not be completed is rolled back, which ends no call. */
    val last: Duration = duration * LAST_PART

    /** Time at which the calls move to the new version. */
    val move: Duration = last - reserve

    /** Time after which neither routes without enough calls nor silent daemons hold up the rollout. */
    val lateMove: Duration = last - reserve * LATE_MOVE_PART

    /** Time after which too little is left for another try. */
    val lastRetreat: Duration = last - reserve * RETREAT_PART

    /** Duration of the comparison after calls have been taken back. */
    val comparison: Duration = minOf(MAX_COMPARISON, reserve / COMPARISON_DIVISOR)

    /** Time since the calls have moved after which streams are not taken up at the old version any more. */
    val closing: Duration = reserve / CLOSING_DIVISOR

    /**
     * Time at which calls that take up to [longest] move: so long before the others that those at the old version end
     * with the others, since all new calls are exposed until the last old one has ended.
     */
    fun moveOf(longest: Duration): Duration =
        move - (longest.coerceAtMost(MAX_LEAD) - SHORT).coerceAtLeast(Duration.ZERO)

    /** Longest time for which calls stay moved, after the old version is idle, to see responses under their load. */
    val observation: Duration = reserve / OBSERVATION_DIVISOR

    private companion object {
        /** Calls up to this duration don't delay the end, as the daemons take as long to tell each other. */
        val SHORT = 400.milliseconds
        val MAX_LEAD = 3.seconds

        /** Two tries of a second each, a comparison, and two accesses to a slow store. */
        val USUAL_RESERVE = 4500.milliseconds
        const val MIN_RESERVE_PART = 0.05
        const val MAX_RESERVE_PART = 0.2
        const val LAST_PART = 0.95
        const val LATE_MOVE_PART = 0.6
        const val RETREAT_PART = 0.5
        const val COMPARISON_DIVISOR = 3
        const val CLOSING_DIVISOR = 3
        const val OBSERVATION_DIVISOR = 4
        val MAX_COMPARISON = 1.5.seconds
    }
}
