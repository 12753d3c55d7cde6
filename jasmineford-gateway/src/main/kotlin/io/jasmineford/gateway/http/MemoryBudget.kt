package io.jasmineford.gateway.http

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Bytes of requests or responses that a daemon holds for all its calls and connections together. Beyond the limit a
 * holder of the group that holds the most is ended, the one with the most bytes, by their weight. So endpoints that
 * send without end, and callers and endpoints that don't read, end none but their own.
 *
 * @param clock clock for holders whose bytes weigh more the longer they are held; null if there are none.
 */
class MemoryBudget(private val limitBytes: Long, private val clock: MonotonicClock? = null) {
    private val holders = LinkedHashSet<Holder>()

    /** Number of bytes held. */
    var heldBytes = 0L
        private set

    /**
     * Returns a new holder; [onExceeded] must release what it holds.
     *
     * @param isAging whether its bytes weigh more the longer it has held some.
     */
    fun holder(isAging: Boolean = false, onExceeded: () -> Unit): Holder = Holder(isAging, onExceeded)

    private fun enforce() {
        while (heldBytes > limitBytes) {
            val largest = largestOfLargestGroup()
            largest.set(0)
            largest.onExceeded()
        }
    }

    private fun largestOfLargestGroup(): Holder {
        val now = clock?.now() ?: Duration.ZERO
        val weights = holders.associateWith { it.weightedBytes(now) }
        val groups = HashMap<Any, Double>()
        weights.forEach { (holder, weight) -> groups.merge(holder.group ?: holder, weight, Double::plus) }
        return weights.keys.maxWith(compareBy({ groups.getValue(it.group ?: it) }, { weights.getValue(it) }))
    }

    /** A part of the budget. */
    inner class Holder internal constructor(private val isAging: Boolean, internal val onExceeded: () -> Unit) {
        private var bytes = 0L
        private var weight = 1
        private var heldSince = Duration.ZERO

        /** Holders of the same group count together when one has to be ended; null for a group of its own. */
        var group: String? = null

        /** Sets the number of bytes held, and how much each of them counts when a holder has to be ended. */
        fun hold(count: Long, weight: Int = 1) {
            this.weight = weight
            set(count)
            enforce()
        }

        internal fun set(count: Long) {
            if (isAging && bytes == 0L && clock != null) heldSince = clock.now()
            heldBytes += count - bytes
            bytes = count
            if (count > 0) holders.add(this) else holders.remove(this)
        }

        internal fun weightedBytes(now: Duration): Double {
            val age = if (isAging && clock != null) (now - heldSince) / AGE_UNIT else 0.0
            return bytes * weight * (1 + age)
        }
    }

    private companion object {
        /** Time for which the weight of an aging holder's bytes grows by one: usual callers read an answer sooner. */
        val AGE_UNIT = 100.milliseconds
    }
}
