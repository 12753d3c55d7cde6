package io.jasmineford.gateway.turn

import kotlin.time.Duration.Companion.seconds

/** Tokens of one program by attempt: a settled figure replaces the reservation and is final. */
class TokenAccount {
    private val attempts = HashMap<String, TokenEntry>()

    /** Sum over all attempts. */
    var total = 0L
        private set

    /** Sum of the entries' hashes: the same at two daemons that hold the same entries. */
    var digest = 0L
        private set

    /** The entries, one for each attempt. */
    val entries: Collection<TokenEntry> get() = attempts.values

    /**
     * Tokens of reservations that were never settled because their daemon died. What it handed out is not known; a
     * budget may be exceeded by one turn, so up to one turn of them may be left out.
     */
    fun abandoned(nowMillis: Long): Long = attempts.values
        .filter { !it.isSettled && nowMillis - it.reservedAtMillis > ABANDONED_AFTER.inWholeMilliseconds }
        .sumOf { it.tokens.toLong() }

    /** Tokens of the turns that have ended. */
    val settled: Long get() = attempts.values.filter { it.isSettled }.sumOf { it.tokens.toLong() }

    /** Applies [entry]; returns false when it says nothing new. */
    fun apply(entry: TokenEntry): Boolean {
        val known = attempts[entry.attempt]
        val isNew = known == null || (entry.isSettled && !known.isSettled)
        if (isNew) {
            attempts[entry.attempt] = entry
            total += entry.tokens - (known?.tokens ?: 0)
            digest += entry.hashCode() - (known?.hashCode() ?: 0)
        }
        return isNew
    }

    private companion object {
        /** Longer than a turn takes, its settlement included. */
        val ABANDONED_AFTER = 6.seconds
    }
}
