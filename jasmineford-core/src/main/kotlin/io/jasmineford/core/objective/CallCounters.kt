package io.jasmineford.core.objective

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.time.MonotonicClock
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/**
 * Labels by which calls are counted.
 *
 * @property account null for open routes, for calls without a known key and above the limit of label sets.
 * @property reason null for calls that were answered with a result.
 */
@Serializable
data class CallLabels(
    val account: ScopedName?,
    val route: String,
    val zone: String,
    val outcome: Outcome,
    val reason: Reason? = null,
)

/** Number of calls with the same labels. */
@Serializable
data class CallCount(
    val labels: CallLabels,
    val calls: Long,
)

/** Counts of the calls within the last [seconds]. */
@Serializable
data class WindowCounts(
    val seconds: Long,
    val counts: List<CallCount>,
)

/**
 * Calls of one minute.
 *
 * @property minutesAgo age of the minute; 0 is the current one.
 * @property counted calls that count for objectives.
 * @property broken those of them that violate [Promise.ANSWERED].
 */
@Serializable
data class MinuteCounts(
    val minutesAgo: Int,
    val counted: Long,
    val broken: Long,
)

/** Call counts of one daemon with the objectives that they are compared with. */
@Serializable
data class ObjectiveSnapshot(
    val vm: String,
    val objectives: List<Objective>,
    val windows: List<WindowCounts>,
    val minutes: List<MinuteCounts>,
)

/** Windows over which burn rates of the error budget are computed; the longest one is that of the budget itself. */
object BurnWindows {
    val FAST_SHORT: Duration = 5.minutes
    val FAST_LONG: Duration = 1.hours
    val SLOW_SHORT: Duration = 30.minutes
    val SLOW_LONG: Duration = 6.hours
    val BUDGET: Duration = 3.days
    val ALL: List<Duration> = listOf(FAST_SHORT, SLOW_SHORT, FAST_LONG, SLOW_LONG, BUDGET)
}

/**
 * Counts calls by account, route, zone, outcome and reason in sliding windows. Memory is bounded by the number of
 * buckets and by [labelLimit] label sets per bucket; beyond that, calls are counted without their account and route.
 */
class CallCounters(clock: MonotonicClock, private val labelLimit: Int = DEFAULT_LABEL_LIMIT) {
    private val minutes = BucketRing<CallLabels>(clock, 1.minutes, MINUTE_BUCKETS)
    private val tenMinutes = BucketRing<CallLabels>(clock, 10.minutes, TEN_MINUTE_BUCKETS)
    private val hours = BucketRing<CallLabels>(clock, 1.hours, HOUR_BUCKETS)

    /** Counts a call that has ended. */
    fun count(labels: CallLabels) {
        for (ring in listOf(minutes, tenMinutes, hours)) {
            val fits = ring.hasKey(labels) || ring.currentKeyCount() < labelLimit
            ring.add(if (fits) labels else labels.copy(account = null, route = OTHER_ROUTE))
        }
    }

    /** Counts of all windows, for the daemon of [vm]. */
    fun snapshot(vm: String, objectives: List<Objective>): ObjectiveSnapshot = ObjectiveSnapshot(
        vm = vm,
        objectives = objectives,
        windows = BurnWindows.ALL.map { WindowCounts(it.inWholeSeconds, ringFor(it).sum(it).map { (k, n) -> CallCount(k, n) }) },
        minutes = minutes.buckets().map { (age, counts) ->
            MinuteCounts(
                minutesAgo = age,
                counted = counts.filterKeys { it.isCounted }.values.sum(),
                broken = counts.filterKeys { it.violates(Promise.ANSWERED) }.values.sum(),
            )
        },
    )

    private fun ringFor(window: Duration) = when {
        window <= BurnWindows.FAST_LONG -> minutes
        window <= BurnWindows.SLOW_LONG -> tenMinutes
        else -> hours
    }

    private companion object {
        const val MINUTE_BUCKETS = 60
        const val TEN_MINUTE_BUCKETS = 36
        const val HOUR_BUCKETS = 72
        const val DEFAULT_LABEL_LIMIT = 1_000
        const val OTHER_ROUTE = "other"
    }
}
