package io.jasmineford.core.schedule

import kotlin.time.Duration

/**
 * Utilisation of one engine's cache memory. Load reports lag, so tokens freed recently are subtracted from the reported
 * use. Otherwise caches would be evicted repeatedly for the same shortage until a report shows the effect.
 */
internal class CacheMemory {
    private val freed = ArrayDeque<Pair<Duration, Long>>()
    private var used = 0L
    private var capacity = 0L

    fun reported(used: Long, capacity: Long) {
        this.used = used
        this.capacity = capacity
    }

    /** Records tokens that were dropped or exported at [now]. */
    fun freed(tokens: Long, now: Duration) {
        freed.addLast(now to tokens)
    }

    /** Fraction of the memory that is in use; zero before the first report. */
    fun use(now: Duration, reportLag: Duration): Double {
        while (freed.firstOrNull()?.let { now - it.first > reportLag } == true) freed.removeFirst()
        return if (capacity == 0L) 0.0 else (used - freed.sumOf { it.second }).toDouble() / capacity
    }
}
