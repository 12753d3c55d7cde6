package io.jasmineford.gateway.call

import io.jasmineford.gateway.turn.TurnRecord

/**
 * Keeps the turns that were used last, up to [maxBytes] of memory. A turn may be as large as a request and its
 * response, so their number alone bounds nothing.
 */
internal class RecentTurns(private val maxBytes: Long = MAX_BYTES) {
    private val turns = LinkedHashMap<String, TurnRecord>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Estimated memory of the turns. */
    var heldBytes = 0L
        private set

    /** Adds [turn], unless it would take the place of many others. */
    fun add(turn: TurnRecord) {
        turns.remove(turn.id)?.let { heldBytes -= it.usedBytes }
        if (turn.usedBytes > maxBytes * LARGEST_PART) return
        turns[turn.id] = turn
        heldBytes += turn.usedBytes
        val oldest = turns.values.iterator()
        while (heldBytes > maxBytes) {
            heldBytes -= oldest.next().usedBytes
            oldest.remove()
        }
    }

    /**
     * Follows the chain of turns of [account] from turn [id] back to the first one.
     *
     * Returns the turns found, oldest first, and the id of the next older turn if it is not kept, else null.
     */
    fun chain(id: String, account: String): Pair<List<TurnRecord>, String?> {
        val found = ArrayDeque<TurnRecord>()
        var next: String? = id
        while (next != null) {
            val turn = turns[next]?.takeIf { it.account == account } ?: break
            found.addFirst(turn)
            next = turn.previous
        }
        return found to next
    }

    private val TurnRecord.usedBytes: Long
        get() = TURN_BYTES + id.length + account.length + (previous?.length ?: 0) + input.size + output.size

    private companion object {
        /** Enough for the turns of the programs that a daemon serves at a time, in a heap of some 100 MB. */
        const val MAX_BYTES = 4L * 1024 * 1024

        /** Largest part of the memory for one turn. */
        const val LARGEST_PART = 1.0 / 8

        /** Estimated memory of a turn besides its texts and bytes. */
        const val TURN_BYTES = 300L
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
