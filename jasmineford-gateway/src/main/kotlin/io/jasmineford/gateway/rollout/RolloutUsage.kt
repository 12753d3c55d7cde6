package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/** How an attempt at an endpoint ended. */
enum class AttemptResult {
    /** With a response that is no failure. */
    SUCCESS,

    /** With a failure. */
    FAILURE,

    /** With a broken response. */
    BROKEN,

    /** This daemon ended it, as nobody waits for it any more. */
    CANCELLED,
}

/**
 * End of an attempt at an endpoint.
 *
 * @property isNew whether the endpoint has the new version.
 * @property endpoint id of the endpoint.
 * @property time duration of the attempt, for streams the duration by event.
 * @property total duration of the attempt.
 */
class AttemptEnd(
    val route: String,
    val isNew: Boolean,
    val endpoint: String,
    val result: AttemptResult,
    val time: Duration,
    val total: Duration = time,
) {
    /** Whether the response was a failure or broken. */
    val isFailed: Boolean get() = result == AttemptResult.FAILURE || result == AttemptResult.BROKEN
}

/** Counts of one daemon's calls during a rollout, by route and side. */
class RolloutUsage {
    private val tallies = HashMap<Pair<String, Boolean>, RouteTally>()
    private val usualTimes = HashMap<String, UsualTime>()
    private val longestTimes = HashMap<String, Duration>()
    private val brokenAt = HashMap<String, Duration>()
    private val badByEndpoint = HashMap<Int, Long>()

    /** Rises with each change. */
    var changes = 0L
        private set

    /** The counts of all routes. */
    val all: List<RouteTally> get() = tallies.values.toList()

    /** Number of failed and slow calls by the hash of the id of the new version's endpoint; the largest ones. */
    val bad: Map<Int, Long>
        get() = badByEndpoint.entries.sortedByDescending { it.value }.take(MAX_BAD_ENDPOINTS)
            .associate { it.key to it.value }

    /** Calls sent to either version. */
    var sent = 0L
        private set

    /** Calls sent to the new version. */
    var sentToNew = 0L
        private set

    /** Calls of [route] sent to the new version. */
    fun sentToNew(route: String): Long = tallies[route to true]?.sent ?: 0

    /** Longest duration of recent calls of [route] at the old version. */
    fun longestTime(route: String): Duration = longestTimes[route] ?: Duration.ZERO

    private var reported: Triple<RolloutPhase, Int, Int>? = null

    /** Number of the report with the present counts and the given values; rises when any of them changes. */
    fun sequenceOf(phase: RolloutPhase, round: Int, oldInFlight: Int): Long {
        val next = Triple(phase, round, oldInFlight)
        if (next != reported) changes++
        reported = next
        return changes
    }

    /** Counts a call that is sent. */
    fun recordSent(route: String, isNew: Boolean) {
        sent++
        if (isNew) sentToNew++
        update(route, isNew) { it.copy(sent = it.sent + 1) }
    }

    /** Counts the [end] of an attempt at [now]. */
    fun recordEnd(end: AttemptEnd, now: Duration) {
        val usual = usualTimes.getOrPut(end.route) { UsualTime() }
        val isSlow = end.result != AttemptResult.BROKEN && usual.isExceededBy(end.time)
        val counts = when (end.result) {
            // A crash of an endpoint breaks all its calls at once, which says no more of its version than one call.
            AttemptResult.BROKEN -> isNewBreak(end.endpoint, now)
            // Callers that leave early say nothing of the version.
            AttemptResult.CANCELLED -> isSlow
            else -> true
        }
        if (!counts) return
        val limited = usual.limit(end.time)
        if (end.result == AttemptResult.SUCCESS && !end.isNew) {
            usual.add(end.time)
            longestTimes[end.route] = maxOf(longestTime(end.route) * LONGEST_DECAY, end.total)
        }
        if (end.isNew && (end.isFailed || isSlow)) badByEndpoint.merge(end.endpoint.hashCode(), 1, Long::plus)
        update(end.route, end.isNew) {
            it.copy(
                ended = it.ended + 1,
                failed = it.failed + if (end.isFailed) 1 else 0,
                slow = it.slow + if (isSlow && !end.isFailed) 1 else 0,
                micros = it.micros + limited.inWholeMicroseconds,
            )
        }
    }

    private fun isNewBreak(endpoint: String, now: Duration): Boolean {
        val last = brokenAt[endpoint]
        if (last != null && now - last < BREAK_TIME) return false
        brokenAt[endpoint] = now
        return true
    }

    private fun update(route: String, isNew: Boolean, change: (RouteTally) -> RouteTally) {
        changes++
        val key = route to isNew
        tallies[key] = change(tallies[key] ?: RouteTally(route, isNew))
    }

    private companion object {
        /** By call, so that a single long one is forgotten after some hundred. */
        const val LONGEST_DECAY = 0.99

        /** Time in which broken calls of one endpoint count once. */
        val BREAK_TIME = 300.milliseconds

        /** Bounds the size of reports; one endpoint is told from several by few. */
        const val MAX_BAD_ENDPOINTS = 8
    }
}

/** Smoothed duration of a route's calls at the old version. */
private class UsualTime {
    private var mean = Duration.ZERO
    private var samples = 0

    fun isExceededBy(time: Duration) =
        samples >= MIN_SAMPLES && time > mean * SLOW_FACTOR && time - mean > MIN_EXCESS

    /** [time], at most a multiple of the usual one, so that one call does not determine a sum. */
    fun limit(time: Duration) = if (samples >= MIN_SAMPLES) minOf(time, mean * MAX_FACTOR + 1.microseconds) else time

    fun add(time: Duration) {
        mean = if (samples == 0) time else mean + (limit(time) - mean) * maxOf(WEIGHT, 1.0 / (samples + 1))
        samples++
    }

    private companion object {
        const val MIN_SAMPLES = 3
        const val WEIGHT = 0.05
        const val SLOW_FACTOR = 2.5

        /** Smaller differences come from connections that are opened and from the scheduling of busy machines. */
        val MIN_EXCESS = 10.milliseconds
        const val MAX_FACTOR = 10.0
    }
}
