package io.jasmineford.gateway.call

import io.jasmineford.core.limit.DemandEstimate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * State of a service's queue.
 *
 * @property waiting number of waiting calls.
 * @property wait expected wait behind them.
 * @property isInTime whether a call would be queued rather than refused.
 */
data class QueueOutlook(val waiting: Int, val wait: Duration, val isInTime: Boolean)

/** Smoothed completion rate and durations of a service's calls. */
internal class CompletionStats {
    private val rate = DemandEstimate(RATE_AVERAGING_TIME)
    private var checkedAt = -Duration.INFINITE
    private var count = 0
    private var shortestBefore = Duration.INFINITE
    private var shortestNow = Duration.INFINITE

    /** Exponentially weighted mean duration of a call; zero before the first one. */
    var serviceTime: Duration = Duration.ZERO
        private set

    /** Shortest duration of the latest calls; a service may have calls of very different sizes. */
    val shortest: Duration get() = minOf(shortestBefore, shortestNow).takeIf { it.isFinite() } ?: Duration.ZERO

    /** Records a call that ended at [now] after [duration]. */
    fun record(now: Duration, duration: Duration) {
        rate.add(now)
        val isFirst = serviceTime == Duration.ZERO
        serviceTime = if (isFirst) duration else serviceTime + (duration - serviceTime) * TIME_WEIGHT
        shortestNow = minOf(shortestNow, duration)
        if (++count % SHORTEST_OF == 0) {
            shortestBefore = shortestNow
            shortestNow = Duration.INFINITE
        }
    }

    /** Expected wait of a call behind [ahead] others, by the rate of completions; zero while that is unknown. */
    fun wait(now: Duration, ahead: Int): Duration {
        val perSecond = rate.perSecond(now)
        return if (perSecond <= 0) Duration.ZERO else (ahead / perSecond).seconds
    }

    /** What a call that has [timeLeft] finds behind [waiting] others. */
    fun outlook(now: Duration, waiting: Int, timeLeft: Duration): QueueOutlook {
        val wait = wait(now, waiting)
        return QueueOutlook(waiting, wait, isInTime = waiting == 0 || wait <= timeLeft - serviceTime)
    }

    /** Time in which the [waiting] calls are served, within what callers wait for. */
    fun retryAfter(now: Duration, waiting: Int): Duration = wait(now, waiting).coerceAtMost(MAX_RETRY_AFTER)

    /** Whether enough calls have ended lately to tell how long others will wait. */
    fun isKnown(now: Duration): Boolean = count >= SHORTEST_OF && rate.perSecond(now) >= MIN_KNOWN_RATE

    /** Whether the queue is due to be checked for calls that can't be served in time. */
    fun takeCheck(now: Duration): Boolean {
        val isDue = now - checkedAt >= CHECK_PERIOD
        if (isDue) checkedAt = now
        return isDue
    }

    private companion object {
        /** Time constant of the averaged rate. */
        val RATE_AVERAGING_TIME = 1.seconds

        /** Weight of the newest sample. */
        const val TIME_WEIGHT = 0.1

        /** Calls over which the shortest duration is taken, and without which nothing is known. */
        const val SHORTEST_OF = 30

        /** After an idle time the rate is low without meaning a long wait. */
        const val MIN_KNOWN_RATE = 5.0

        /** The queue is examined at every completion, and each check sorts out all waiting calls. */
        val CHECK_PERIOD = 20.milliseconds

        /** Longest retry time given to a caller. */
        val MAX_RETRY_AFTER = 2.seconds
    }
}
