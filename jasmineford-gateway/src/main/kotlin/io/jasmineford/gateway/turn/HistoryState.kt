package io.jasmineford.gateway.turn

import kotlin.time.Duration

/**
 * Turns and token entries of one history daemon. Their index is in memory, and so are the bodies of the turns that are
 * not on disk yet and of those used last; the others are read from disk.
 *
 * @param now monotonic time, from which the ages of entries are counted.
 * @param load reads the entry at a place of the log.
 * @param cacheBytes size of the bodies that are on disk and remain in memory.
 */
class HistoryState(
    internal val now: () -> Duration = { Duration.ZERO },
    load: (RecordLocation) -> HistoryEntry = { error("there is no log to read $it from") },
    cacheBytes: Long = Long.MAX_VALUE,
) {
    internal val turns = HashMap<String, HeldTurn>()
    internal val programs = HashMap<ProgramKey, HeldProgram>()
    private val bodies = TurnBodies(load, cacheBytes)
    private val records = HeldRecords(bodies)

    /** Number of records held. */
    val size: Int get() = records.all.size

    /** Position after the last record. */
    val end: Int get() = records.end

    /** Estimated memory of what is held, without the cached bodies. */
    val usedBytes: Long get() = records.usedBytes

    /** Records held, oldest first. */
    internal val held: Collection<HeldRecord> get() = records.all

    /** Applies [entry]; returns false when it is a duplicate or superseded, and on disk. */
    fun apply(entry: HistoryEntry): Boolean = hold(entry).isNotEmpty()

    /**
     * Applies [entry] and returns the records to write, [HeldRecord.located] once they are on disk. A record that could
     * not be written is returned again when it is repeated.
     */
    internal fun hold(entry: HistoryEntry): List<HeldRecord> =
        listOfNotNull(entry.turn?.let(::holdTurn), entry.tokens?.let(::holdTokens)).filter { it.location == null }

    private fun holdTurn(turn: TurnRecord): HeldRecord {
        val known = turns[turn.id]
        val record = known ?: HeldTurn(end, turn).also {
            turns[turn.id] = it
            records.add(it)
        }
        record.touchedAt = now()
        return record
    }

    private fun holdTokens(entry: TokenEntry): HeldRecord {
        val program = programs.getOrPut(entry.program) { HeldProgram() }
        program.touchedAt = now()
        val known = program.records[entry.attempt]
        if (!program.ledger.apply(entry) && known != null) return known
        val record = HeldTokens(end, entry)
        program.records[entry.attempt] = record
        known?.let(records::remove)
        records.add(record)
        return record
    }

    /** Notes that [record] is on disk at [location], possibly once more. */
    internal fun located(record: HeldRecord, location: RecordLocation) = records.located(record, location)

    /** The entry of [record], read from disk if it is not in memory. */
    internal fun entryOf(record: HeldRecord): HistoryEntry = when (record) {
        is HeldTokens -> HistoryEntry(tokens = record.entry)
        is HeldTurn -> HistoryEntry(turn = bodies.of(record))
    }

    /** Tokens of [program]; empty when it has none. */
    fun tokens(program: ProgramKey): TokenLedger = programs[program]?.ledger ?: TokenLedger()

    /**
     * Follows the chain of turns of [account] from turn [id] back to the first one, for at most about [maxBytes] of
     * turns, but one at least.
     */
    fun chain(id: String, account: String, maxBytes: Long = Long.MAX_VALUE): ChainPart {
        val found = ArrayDeque<TurnRecord>()
        var bytes = 0L
        var next: String? = id
        var turn = turns[id]?.takeIf { it.account == account }
        while (turn != null && (found.isEmpty() || bytes + turn.bodyBytes <= maxBytes)) {
            found.addFirst(bodies.of(turn))
            bytes += turn.bodyBytes
            next = turn.previous
            turn = next?.let(turns::get)?.takeIf { it.account == account }
        }
        return ChainPart(found, next, isHeld = turn != null)
    }

    /** At most [count] entries of about [maxBytes], but one at least, from position [from] on. */
    fun copyFrom(from: Int, count: Int, maxBytes: Long): CopyPart {
        val chosen = ArrayList<HeldRecord>()
        val rest = records.from(from).iterator()
        var bytes = 0L
        var next: HeldRecord? = null
        while (next == null && rest.hasNext()) {
            val record = rest.next()
            bytes += record.bodyBytes
            if (chosen.isEmpty() || (chosen.size < count && bytes <= maxBytes)) chosen.add(record) else next = record
        }
        return CopyPart(chosen.map(::entryOf), next?.position ?: maxOf(from, end), isEnd = next == null)
    }

    /** Forgets [ids] and the token entries of [keys]. */
    internal fun remove(ids: Collection<String>, keys: Collection<ProgramKey>) {
        ids.forEach { id -> turns.remove(id)?.let(records::remove) }
        keys.forEach { key -> programs.remove(key)?.records?.values?.forEach(records::remove) }
    }
}

/**
 * The newer part of a chain.
 *
 * @property turns the turns found, oldest first.
 * @property missing id of the next older turn; null if there is none.
 * @property isHeld whether that turn is held, so that the chain can be followed further.
 */
data class ChainPart(val turns: List<TurnRecord>, val missing: String?, val isHeld: Boolean)

/**
 * Entries in the order in which they were applied.
 *
 * @property next position after them.
 * @property isEnd whether no more are held.
 */
data class CopyPart(val entries: List<HistoryEntry>, val next: Int, val isEnd: Boolean)
