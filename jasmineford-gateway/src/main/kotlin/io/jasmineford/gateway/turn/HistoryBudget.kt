package io.jasmineford.gateway.turn

/**
 * Memory and disk that a history daemon may use for entries. Near a limit it refuses the reservations of new turns, so
 * that the turns that run can still be stored; at the limit it refuses these, too.
 *
 * @property heapBytes memory of the index and of entries that are not on disk yet.
 * @property diskBytes length of the log.
 * @property cacheBytes memory of turns that are on disk as well.
 */
data class HistoryBudget(
    val heapBytes: Long = Long.MAX_VALUE,
    val diskBytes: Long = Long.MAX_VALUE,
    val cacheBytes: Long = Long.MAX_VALUE,
) {
    /** Share of the budget that [usedHeap] and [usedDisk] bytes take, whichever takes the larger one. */
    fun usedShare(usedHeap: Long, usedDisk: Long): Double =
        maxOf(usedHeap.toDouble() / heapBytes, usedDisk.toDouble() / diskBytes)

    companion object {
        /** Share from which reservations of new turns are refused. */
        const val NEARLY_FULL = 0.85

        /** The rest of the heap holds messages, buffers and the code's own data. */
        private const val HEAP_SHARE = 0.4
        private const val CACHE_SHARE = 0.15

        /** The rest of the disk holds entries that are copied from other daemons, or appended again. */
        private const val DISK_SHARE = 0.9

        /** Budget of a process with [maxHeapBytes] on a disk of [diskBytes], 0 if that is not limited. */
        fun of(maxHeapBytes: Long, diskBytes: Long) = HistoryBudget(
            heapBytes = (maxHeapBytes * HEAP_SHARE).toLong(),
            diskBytes = if (diskBytes > 0) (diskBytes * DISK_SHARE).toLong() else Long.MAX_VALUE,
            cacheBytes = (maxHeapBytes * CACHE_SHARE).toLong(),
        )
    }
}
