package io.jasmineford.core.objective

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/** Counts by key in a sliding window of [size] time buckets of [length] each; older buckets are dropped. */
class BucketRing<K>(
    private val clock: MonotonicClock,
    private val length: Duration,
    private val size: Int,
) {
    private val buckets = ArrayDeque<Bucket<K>>()

    /** Adds one to the count of [key] in the current bucket. */
    fun add(key: K) {
        currentBucket().counts.merge(key, 1L, Long::plus)
    }

    /** Number of keys in the current bucket. */
    fun currentKeyCount(): Int = currentBucket().counts.size

    /** Whether the current bucket has a count of [key]. */
    fun hasKey(key: K): Boolean = key in currentBucket().counts

    /** Sums of the counts by key over the latest buckets that together span [window], the current one included. */
    fun sum(window: Duration): Map<K, Long> {
        val sums = HashMap<K, Long>()
        val count = (window / length).toInt()
        for ((age, counts) in buckets()) {
            if (age < count) counts.forEach { (key, calls) -> sums.merge(key, calls, Long::plus) }
        }
        return sums
    }

    /** Counts with the age of their bucket in buckets, oldest first; 0 is the current one. */
    fun buckets(): List<Pair<Int, Map<K, Long>>> {
        val now = currentBucket().index
        return buckets.map { (now - it.index).toInt() to it.counts }
    }

    private fun currentBucket(): Bucket<K> {
        val index = (clock.now() / length).toLong()
        val last = buckets.lastOrNull()
        val current = if (last?.index == index) last else Bucket<K>(index).also { buckets.addLast(it) }
        while (buckets.first().index <= index - size) buckets.removeFirst()
        return current
    }

    private class Bucket<K>(val index: Long, val counts: HashMap<K, Long> = HashMap())
}
