package io.jasmineford.gateway.turn

/** Turns and token accounts that one history daemon holds. */
class HistoryState {
    private val turns = HashMap<String, TurnRecord>()
    private val accounts = HashMap<ProgramKey, TokenAccount>()
    private val entries = ArrayList<HistoryEntry>()

    /** Number of entries in the order they were applied. */
    val size: Int get() = entries.size

    /** Applies [entry]; returns false when it says nothing new. */
    fun apply(entry: HistoryEntry): Boolean {
        val isTurnNew = entry.turn?.let { turns.putIfAbsent(it.id, it) == null } ?: false
        val areTokensNew = entry.tokens?.let { accountOf(it.program).apply(it) } ?: false
        val isNew = isTurnNew || areTokensNew
        if (isNew) entries.add(entry)
        return isNew
    }

    /** Token entries of [program]. */
    fun tokens(program: ProgramKey): TokenAccount = accounts[program] ?: TokenAccount()

    /** Turn [id] of [account] with all that it continues from, oldest first, and the first turn that is not held. */
    fun chain(id: String, account: String): Pair<List<TurnRecord>, String?> = turns.chain(id, account)

    /** At most [count] entries from position [from] on. */
    fun entriesFrom(from: Int, count: Int): List<HistoryEntry> =
        entries.subList(from.coerceIn(0, entries.size), (from + count).coerceIn(0, entries.size)).toList()

    private fun accountOf(program: ProgramKey) = accounts.getOrPut(program) { TokenAccount() }
}

/**
 * Turn [id] of [account] among these, by id, with all that it continues from, oldest first, and the first turn that is
 * not among them.
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
