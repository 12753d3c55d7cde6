package io.jasmineford.gateway.http

/**
 * Bytes of requests or responses that a daemon holds for all its calls and connections together. Beyond the limit the
 * holder of the most bytes, by their weight, is ended, so that endpoints that send without end, and callers that don't
 * read, end none but their own.
 */
class MemoryBudget(private val limitBytes: Long) {
    private val holders = LinkedHashSet<Holder>()

    /** Number of bytes held. */
    var heldBytes = 0L
        private set

    /** Returns a new holder; [onExceeded] must release what it holds. */
    fun holder(onExceeded: () -> Unit): Holder = Holder(onExceeded)

    private fun enforce() {
        while (heldBytes > limitBytes) {
            val largest = holders.maxBy { it.bytes * it.weight }
            largest.set(0)
            largest.onExceeded()
        }
    }

    /** A part of the budget. */
    inner class Holder internal constructor(internal val onExceeded: () -> Unit) {
        internal var bytes = 0L
            private set
        internal var weight = 1
            private set

        /** Sets the number of bytes held, and how much each of them counts when a holder has to be ended. */
        fun hold(count: Long, weight: Int = 1) {
            this.weight = weight
            set(count)
            enforce()
        }

        internal fun set(count: Long) {
            heldBytes += count - bytes
            bytes = count
            if (count > 0) holders.add(this) else holders.remove(this)
        }
    }
}
