package io.jasmineford.gateway.turn

/** Turns and token entries of one history daemon, in memory. */
class HistoryState {
    private val turns = HashMap<String, TurnRecord>()
    private val ledgers = HashMap<ProgramKey, TokenLedger>()
    private val entries = ArrayList<HistoryEntry>()

    /** Number of entries applied. */
    val size: Int get() = entries.size

    /** Applies [entry]; returns false when it is a duplicate or superseded. */
    fun apply(entry: HistoryEntry): Boolean {
        val isTurnNew = entry.turn?.let { turns.putIfAbsent(it.id, it) == null } ?: false
        val areTokensNew = entry.tokens?.let { ledgerOf(it.program).apply(it) } ?: false
        val isNew = isTurnNew || areTokensNew
        if (isNew) entries.add(entry)
        return isNew
    }

    /** Tokens of [program]; empty when it has none. */
    fun tokens(program: ProgramKey): TokenLedger = ledgers[program] ?: TokenLedger()

    /** See [Map.chain]. */
    fun chain(id: String, account: String): Pair<List<TurnRecord>, String?> = turns.chain(id, account)

    /** At most [count] entries from position [from] on, in the order in which they were applied. */
    fun entriesFrom(from: Int, count: Int): List<HistoryEntry> =
        entries.subList(from.coerceIn(0, entries.size), (from + count).coerceIn(0, entries.size)).toList()

    private fun ledgerOf(program: ProgramKey) = ledgers.getOrPut(program) { TokenLedger() }
}

/**
 * Follows the chain of turns of [account] from turn [id] back to the first one. The receiver holds turns by id.
 *
 * Returns the turns found, oldest first, and the id of the next older turn if the receiver lacks it, else null.
 */
internal fun Map<String, TurnRecord>.chain(id: String, account: String): Pair<List<TurnRecord>, String?> {
    val found = ArrayDeque<TurnRecord>()
    var next: String? = id
    while (next != null) {
        val turn = this[next]?.takeIf { it.account == account } ?: break
        found.addFirst(turn)
        next = turn.previous
    }
    return found to next
}
