package io.jasmineford.gateway.http

/**
 * Memory that the requests on one connection hold, by what they cost in memory rather than on the wire. Requests that
 * are being read weigh more than whole ones when [budget] is exceeded.
 */
internal class RequestFootprint(budget: MemoryBudget, onExceeded: () -> Unit) {
    private val holder = budget.holder(onExceeded = onExceeded)
    private var wholeGroup: String? = null
    private var head = 0L
    private var body = 0L
    private var whole = 0L

    /** Sets the size of the head, and of trailers, of the request that is being read. */
    fun readHead(bytes: Int, lines: Int) {
        head = bytes * HEAD_COPIES + lines * LINE_BYTES
        update()
    }

    /** Sets the size of the body that is being read, which is buffered in [parts]. */
    fun readBody(bytes: Int, parts: Int) {
        body = bytes + parts * PART_BYTES
        update()
    }

    /** Records that the request has been read; returns its cost, which counts until [release]. */
    fun complete(): Long {
        val cost = REQUEST_BYTES + head + body
        whole += cost
        head = 0
        body = 0
        update()
        return cost
    }

    /** Counts whole requests together with the others of [group]. */
    fun joinGroup(group: String) {
        wholeGroup = group
        update()
    }

    /** Records that a whole request that costs [bytes] is no longer held. */
    fun release(bytes: Long) {
        whole -= bytes
        update()
    }

    /** Records that nothing is held any more. */
    fun clear() {
        head = 0
        body = 0
        whole = 0
        update()
    }

    private fun update() {
        if (whole == 0L) wholeGroup = null
        val isReading = head + body > 0
        holder.group = if (isReading) READING_GROUP else wholeGroup
        holder.hold(head + body + whole, if (isReading) READING_WEIGHT else 1)
    }

    private companion object {
        /** Objects of a header line: entry, name and value. Measured: 127 bytes; the copy for an endpoint has some. */
        const val LINE_BYTES = 256L

        /** Bytes of a head are held in the read buffer, as text of the lines, and in the decoder's line buffer. */
        const val HEAD_COPIES = 3L

        /** Objects of a part of a body and the unused rest of its read buffer. */
        const val PART_BYTES = 2048L

        /** Objects of a request and its call. */
        const val REQUEST_BYTES = 2048L

        /** All requests that are being read; what they are for is not known yet. */
        const val READING_GROUP = ""

        /** A request that is still read gives less than one that is being answered. */
        const val READING_WEIGHT = 4
    }
}
