package io.jasmineford.gateway.load

import io.jasmineford.core.limit.DemandEstimate
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times after which the callers of shed calls come back. */
internal class RetryTimes {
    private val shedRate = DemandEstimate(AVERAGING_TIME)
    private var count = 0L

    /**
     * Time for a call that is shed at [now]. Retries are spread evenly over the time in which the calls that were shed
     * lately can be taken at [takenRate], within the part of the time [left] that callers wait for.
     */
    fun next(now: Duration, lag: Duration, left: Duration?, takenRate: Double): Duration {
        shedRate.add(now)
        val window = (shedRate.perSecond(now) / takenRate).seconds.coerceIn(MIN_WINDOW, MAX_WINDOW)
        val honoured = left?.let { it * HONOURED_FRACTION } ?: Duration.INFINITE
        val earliest = minOf(lag + MIN_TIME, honoured / 2).coerceAtLeast(Duration.ZERO)
        val latest = minOf(earliest + window, honoured).coerceAtLeast(earliest)
        return earliest + (latest - earliest) * (++count * GOLDEN_RATIO % 1)
    }

    private companion object {
        val AVERAGING_TIME = 1.seconds
        val MIN_TIME = 50.milliseconds
        val MIN_WINDOW = 200.milliseconds
        val MAX_WINDOW = 2.seconds

        /** Callers wait at most for this part of their remaining time. */
        const val HONOURED_FRACTION = 1.0 / 3

        /** Multiples of it are evenly spread in 0 to 1, whatever their number. */
        const val GOLDEN_RATIO = 0.618034
    }
}
