package io.jasmineford.gateway.http

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import java.io.File
import java.io.IOException

/**
 * What the connections of one listener may use.
 *
 * @property connections bound on their number.
 * @property requests memory budget of the requests that are being read, wait or are being answered.
 * @property unread memory budget of the answers that have not been read by their callers.
 * @property rejections record of the callers that are rejected.
 */
class ListenerResources(
    val rejections: RejectionLog,
    val connections: ConnectionLimit = ConnectionLimit(),
    val requests: MemoryBudget = MemoryBudget(Long.MAX_VALUE),
    val unread: MemoryBudget = MemoryBudget(Long.MAX_VALUE),
)

/**
 * Descriptors and memory of a process, divided between its listeners. What the listeners don't get is reserved for
 * connections to endpoints, peers and the store, and for files.
 *
 * @param descriptors number of descriptors that the process may open.
 * @param heapBytes largest heap of the process.
 */
class ProcessResources(
    private val descriptors: Int,
    heapBytes: Long,
    log: EventLog,
    private val clock: MonotonicClock,
) {
    /** Record of the callers that all listeners reject. */
    val rejections = RejectionLog(log, clock)

    /** Memory of the requests of all listeners. */
    val requests = MemoryBudget((heapBytes / REQUEST_HEAP_PART).coerceAtLeast(MIN_REQUEST_BYTES))

    /** Resources of a listener for [share] of the descriptors, whose unread answers count in [unread]. */
    fun listener(share: Double, unread: MemoryBudget = MemoryBudget(UNREAD_BYTES, clock)) = ListenerResources(
        rejections = rejections,
        connections = ConnectionLimit((descriptors * share).toInt().coerceAtLeast(MIN_CONNECTIONS)),
        requests = requests,
        unread = unread,
    )

    companion object {
        /** A call needs a connection to an endpoint, and some to history daemons, besides its caller's. */
        const val CALLER_SHARE = 0.45

        /** Address requests and readiness checks, of two listeners, are short. */
        const val ADDRESS_SHARE = 1.0 / 16
        const val METRICS_SHARE = 1.0 / 32

        /** Each entry daemon has one connection to a history daemon. */
        const val HISTORY_SHARE = 0.5

        /** Answers of the address and metrics servers are some KB long. */
        private const val UNREAD_BYTES = 1024L * 1024
        private const val MIN_CONNECTIONS = 8

        /** Copies of heads and bodies for endpoints take up to twice as much again, and responses a third. */
        private const val REQUEST_HEAP_PART = 6

        /** A body of 4 MB behind a head of 16 KB, 1 MB with the objects of its lines, fits. */
        private const val MIN_REQUEST_BYTES = 8L * 1024 * 1024

        /**
         * The [configured] number if there is one, else the process's own limit. What the operating system reports may
         * not be what the deployment grants: a limit that it reports smaller would close connections of usual callers.
         */
        fun descriptorLimit(configured: Int): Int = if (configured > 0) configured else ownDescriptorLimit()

        private fun ownDescriptorLimit(): Int {
            val line = try {
                File("/proc/self/limits").useLines { lines -> lines.firstOrNull { it.startsWith("Max open files") } }
            } catch (_: IOException) {
                null
            }
            return line?.split(' ')?.firstNotNullOfOrNull { it.toIntOrNull() } ?: Int.MAX_VALUE
        }
    }
}
