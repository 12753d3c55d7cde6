package io.jasmineford.core.schedule

import kotlin.time.Duration

/**
 * Use of one engine's cache memory. The load report lags, so that tokens freed since the report was made are subtracted;
 * otherwise the same shortage would be relieved again and again until a report shows the effect.
 */
internal class CacheMemory {
    private val freed = ArrayDeque<Pair<Duration, Long>>()
    private var used = 0L
    private var capacity = 0L

    fun reported(used: Long, capacity: Long) {
        this.used = used
        this.capacity = capacity
    }

    /** Counts tokens that were dropped or exported at [now]. */
    fun freed(tokens: Long, now: Duration) {
        freed.addLast(now to tokens)
    }

    /** Share of the memory that is in use; zero before the first report. */
    fun use(now: Duration, reportLag: Duration): Double {
        while (freed.firstOrNull()?.let { now - it.first > reportLag } == true) freed.removeFirst()
        return if (capacity == 0L) 0.0 else (used - freed.sumOf { it.second }).toDouble() / capacity
    }
}
