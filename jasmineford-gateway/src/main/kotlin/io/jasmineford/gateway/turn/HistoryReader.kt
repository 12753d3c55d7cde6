package io.jasmineford.gateway.turn

/** Replies of a replica from its [state]. */
internal class HistoryReader(private val state: HistoryState) {
    /** Tokens of [program] after a reservation, which count only if the replica is complete. */
    fun reserved(program: ProgramKey, status: HistoryStatus): HistoryReply {
        val ledger = state.tokens(program)
        return if (status.isComplete) HistoryReply.Reserved(ledger.total, ledger.digest) else HistoryReply.Incomplete
    }

    /** The newer part of a chain. The reader takes the next older turn for a missing one and asks for it again. */
    fun chain(request: HistoryRequest.Chain, status: HistoryStatus): HistoryReply {
        val part = state.chain(request.id, request.account, MAX_REPLY_BYTES)
        val isRestUnknown = part.missing != null && !part.isHeld && !status.isComplete
        return if (isRestUnknown) HistoryReply.Incomplete else HistoryReply.Turns(part.turns, part.missing)
    }

    /** Entries from a position on, or [needed] if the request names expired ones. */
    fun copy(request: HistoryRequest.Copy, status: HistoryStatus, needed: ExpiredEntries?): HistoryReply {
        if (request.expired != null) {
            return HistoryReply.Copied(emptyList(), request.from, isEnd = false, status, needed)
        }
        val part = state.copyFrom(request.from, COPY_ENTRIES, MAX_REPLY_BYTES)
        return HistoryReply.Copied(part.entries, part.next, part.isEnd, status)
    }

    private companion object {
        /** Entries in one copy reply. */
        const val COPY_ENTRIES = 64

        /** Size of the turns in one reply, far below the largest frame; a single turn may be larger. */
        const val MAX_REPLY_BYTES = 1024L * 1024
    }
}
