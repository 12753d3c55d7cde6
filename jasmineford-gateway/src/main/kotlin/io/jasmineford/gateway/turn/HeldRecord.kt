package io.jasmineford.gateway.turn

import java.util.TreeMap
import kotlin.time.Duration

/** A turn or a token entry that is held, at a position that no other one has had since the start of the process. */
internal sealed class HeldRecord(val position: Int) {
    /** Place in the log; null before it has been written. */
    var location: RecordLocation? = null

    /** Bytes of its body. */
    abstract val bodyBytes: Long

    /** Estimated memory without cached bodies. */
    abstract val usedBytes: Long
}

/** A token entry that is held. */
internal class HeldTokens(position: Int, val entry: TokenEntry) : HeldRecord(position) {
    override val bodyBytes get() = TOKEN_BYTES
    override val usedBytes get() = TOKEN_BYTES
}

/** A turn that is held; its [body] may be on disk only. */
internal class HeldTurn(position: Int, turn: TurnRecord) : HeldRecord(position) {
    val id = turn.id
    val account = turn.account
    val previous = turn.previous
    var body: TurnRecord? = turn
    var touchedAt = Duration.ZERO
    override val bodyBytes: Long = turn.input.size.toLong() + turn.output.size
    override val usedBytes: Long get() = if (location == null) TURN_BYTES + bodyBytes else TURN_BYTES
}

/** The token entries of a program, which are kept together: a budget is judged by their sum. */
internal class HeldProgram {
    val ledger = TokenLedger()
    val records = HashMap<String, HeldTokens>()
    var touchedAt = Duration.ZERO
}

/** Estimated memory of a token entry with its ids, map entries and share of its program. */
private const val TOKEN_BYTES = 600L

/** Estimated memory of a turn without its body. */
private const val TURN_BYTES = 600L

/** Records by position, and the memory that they take. */
internal class HeldRecords(private val bodies: TurnBodies) {
    private val records = TreeMap<Int, HeldRecord>()

    /** All records, oldest first. */
    val all: Collection<HeldRecord> get() = records.values

    /** Position of the next record. */
    var end = 0
        private set

    /** Estimated memory of the records, without the cached bodies. */
    var usedBytes = 0L
        private set

    /** Records from [position] on. */
    fun from(position: Int): Collection<HeldRecord> = records.tailMap(position).values

    /** Adds [record], whose position is [end]. */
    fun add(record: HeldRecord) {
        records[end++] = record
        usedBytes += record.usedBytes
    }

    /** Removes [record] if it is held. */
    fun remove(record: HeldRecord) {
        if (records.remove(record.position) == null) return
        usedBytes -= record.usedBytes
        if (record is HeldTurn) bodies.forget(record)
    }

    /** Notes that [record] is on disk at [location], unless it is not held any more. */
    fun located(record: HeldRecord, location: RecordLocation) {
        if (records[record.position] !== record) return
        usedBytes -= record.usedBytes
        record.location = location
        usedBytes += record.usedBytes
        if (record is HeldTurn && record.body != null) bodies.keep(record)
    }
}

/** Bodies of turns on disk, of which those used last remain in memory, up to [maxBytes]. */
internal class TurnBodies(
    private val load: (RecordLocation) -> HistoryEntry,
    private val maxBytes: Long,
) {
    private val kept = LinkedHashMap<String, HeldTurn>(CAPACITY, LOAD_FACTOR, true)
    private var bytes = 0L

    /** The body of [turn], from memory or disk. */
    fun of(turn: HeldTurn): TurnRecord {
        val body = turn.body ?: checkNotNull(load(checkNotNull(turn.location)).turn)
        turn.body = body
        if (turn.location != null) keep(turn)
        return body
    }

    /** Keeps the body of [turn], which is on disk, in memory for now. */
    fun keep(turn: HeldTurn) {
        if (kept.put(turn.id, turn) == null) bytes += turn.bodyBytes
        val oldest = kept.values.iterator()
        while (bytes > maxBytes && oldest.hasNext()) {
            val evicted = oldest.next()
            oldest.remove()
            bytes -= evicted.bodyBytes
            evicted.body = null
        }
    }

    /** Forgets the body of [turn]. */
    fun forget(turn: HeldTurn) {
        if (kept.remove(turn.id) != null) bytes -= turn.bodyBytes
    }

    private companion object {
        const val CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
