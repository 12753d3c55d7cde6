package io.jasmineford.gateway.turn

import kotlin.time.Duration.Companion.seconds

/** Tokens of one program by attempt. The settled number of an attempt replaces its reservation and is final. */
class TokenLedger {
    private val attempts = HashMap<String, TokenEntry>()

    /** Sum of reserved and settled tokens over all attempts. */
    var total = 0L
        private set

    /** Sum of the entries' hash codes, independent of their order: equal at daemons that hold the same entries. */
    var digest = 0L
        private set

    /** The entries, one for each attempt. */
    val entries: Collection<TokenEntry> get() = attempts.values

    /**
     * Tokens of reservations that were never settled because the daemon that made them died. How many of them were used
     * is unknown. A budget may be exceeded by one turn, so callers may ignore up to one turn's worth of them.
     */
    fun abandoned(nowMillis: Long): Long = attempts.values
        .filter { !it.isSettled && nowMillis - it.reservedAtMillis > ABANDONED_AFTER.inWholeMilliseconds }
        .sumOf { it.tokens.toLong() }

    /** Tokens used by turns that have ended. */
    val settled: Long get() = attempts.values.filter { it.isSettled }.sumOf { it.tokens.toLong() }

    /** Applies [entry]; returns false when it is a duplicate or the attempt is settled. */
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
        /** Longer than any turn takes, including its settlement. */
        val ABANDONED_AFTER = 6.seconds
    }
}
