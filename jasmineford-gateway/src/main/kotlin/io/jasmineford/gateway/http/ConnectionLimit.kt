package io.jasmineford.gateway.http

/**
 * Bound on the connections of one listener. A connection beyond [limit] takes the place of the one that has given the
 * least: the oldest one without a whole request, else the one that has been idle for longest. Connections whose request
 * is being answered keep their places; if all are, the new connection is rejected.
 */
class ConnectionLimit(private val limit: Int = Int.MAX_VALUE) {
    private val unproven = LinkedHashSet<Place>()
    private val idle = LinkedHashSet<Place>()
    private val busy = HashSet<Place>()

    /** Number of connections that have a place. */
    val count: Int get() = unproven.size + idle.size + busy.size

    /**
     * Returns a place for a new connection, or null if there is none. [onEvicted] is called when another connection
     * takes the place, and must close the connection.
     */
    fun admit(onEvicted: () -> Unit): Place? {
        if (count >= limit) {
            val evicted = unproven.firstOrNull() ?: idle.firstOrNull() ?: return null
            evicted.leave()
            evicted.onEvicted()
        }
        return Place(onEvicted).also(unproven::add)
    }

    /** The place of one connection. */
    inner class Place internal constructor(internal val onEvicted: () -> Unit) {
        private var isLeft = false

        /** Records that a whole request is being answered. */
        fun beginRequest() = moveTo(busy)

        /** Records that all requests have been answered. */
        fun endRequests() = moveTo(idle)

        /** Gives the place back; the connection is closed. */
        fun leave() {
            isLeft = true
            remove()
        }

        private fun moveTo(places: MutableSet<Place>) {
            if (isLeft) return
            remove()
            places.add(this)
        }

        private fun remove() {
            unproven.remove(this)
            idle.remove(this)
            busy.remove(this)
        }
    }
}
