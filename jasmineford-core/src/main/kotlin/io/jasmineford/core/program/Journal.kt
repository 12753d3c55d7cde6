package io.jasmineford.core.program

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.acceptOwnWrite
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One object of a journal. A segment with [isSeal] ends the journal and holds no records. */
@Serializable
data class Segment(
    val sequence: Long,
    val records: List<JournalRecord> = emptyList(),
    val isSeal: Boolean = false,
)

/** Prefix of the segments of [journal]. */
fun segmentPrefix(journal: String): String = "journal/$journal/"

/** Key of segment [sequence] of [journal]; keys sort by sequence. */
fun segmentKey(journal: String, sequence: Long): String =
    segmentPrefix(journal) + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

/**
 * Times and sizes of group commit.
 *
 * @property linger longest wait for more records before a write; zero writes as soon as none is in flight.
 * @property segmentBytes UTF-8 bytes of records after which a segment is full and is written without lingering.
 */
data class JournalSettings(
    val linger: Duration = 2.milliseconds,
    val segmentBytes: Int = 700_000,
)

/** A create-if-absent write that the journal asks its driver to make. */
data class SegmentWrite(
    val key: String,
    val value: String,
    val nonce: String,
)

/** An object to delete, with the version that it was written with. */
data class DeadObject(
    val key: String,
    val version: Long,
)

/** What a reply to a [SegmentWrite] means. */
sealed interface JournalProgress {
    /** All records up to position [upTo] are durable. */
    data class Durable(val upTo: Long) : JournalProgress

    /** No reply; the same write must be sent again. */
    data object Retry : JournalProgress

    /** Another VM sealed the journal: no record after position [durableUpTo] is or will become durable. */
    data class Fenced(val durableUpTo: Long) : JournalProgress
}

/**
 * Appends records of many programs to a journal of one incarnation, many records a store write (group commit).
 *
 * Segments are created with create-if-absent under rising sequence numbers. A successor seals the journal by creating
 * the next one itself, so that a paused owner's next write conflicts. One write is in flight at a time.
 */
class Journal(
    val id: String,
    private val settings: JournalSettings,
    private val clock: MonotonicClock,
    private val nonces: () -> String,
) {
    private val waiting = ArrayDeque<Waiting>()
    private var waitingBytes = 0L
    private var sequence = 0L
    private var inFlight: SegmentWrite? = null
    private var inFlightRecords = 0
    private var inFlightSince = Duration.ZERO

    /** Segments that are durable and not deleted, by sequence. */
    private val segments = TreeMap<Long, Stored>()

    /** True after another VM sealed the journal. */
    var isFenced: Boolean = false
        private set

    /** Position of the newest record; 0 before the first. */
    var appended: Long = 0
        private set

    /** All records up to this position are durable. */
    var durable: Long = 0
        private set

    /** True when every record is durable. */
    val isIdle: Boolean get() = durable == appended

    /** Segments that are stored and not deleted. */
    val storedSegments: Int get() = segments.size

    /** How long the oldest record that is not durable has waited; zero when all are durable. */
    fun oldestWait(): Duration = when {
        inFlight != null -> clock.now() - inFlightSince
        waiting.isNotEmpty() -> clock.now() - waiting.first().since
        else -> Duration.ZERO
    }

    /** Adds [record] and returns its position; the first is 1. The record must fit, see [fits]. */
    fun append(record: JournalRecord): Long {
        check(!isFenced) { "expected a journal that is not fenced, actual $id is fenced" }
        val bytes = encodedBytes(record)
        require(bytes <= MAX_RECORD_BYTES) { "expected a record of at most $MAX_RECORD_BYTES bytes, actual $bytes" }
        waiting.addLast(Waiting(record, bytes, clock.now()))
        waitingBytes += bytes
        return ++appended
    }

    /** How long until [poll] has a write; null when nothing waits or a write is in flight. */
    fun dueIn(): Duration? {
        val first = waiting.firstOrNull()
        if (first == null || isFenced || inFlight != null) return null
        if (waitingBytes >= settings.segmentBytes) return Duration.ZERO
        return (first.since + settings.linger - clock.now()).coerceAtLeast(Duration.ZERO)
    }

    /** The write that is due, or null. The driver sends it and calls [onReply]. */
    fun poll(): SegmentWrite? {
        if (dueIn() != Duration.ZERO) return null
        inFlightSince = waiting.first().since
        val records = takeRecords()
        val segment = Segment(sequence = sequence, records = records)
        val write = SegmentWrite(segmentKey(id, sequence), journalJson.encodeToString(segment), nonces())
        inFlight = write
        inFlightRecords = records.size
        return write
    }

    /** Takes the reply to the write in flight. */
    fun onReply(reply: Result<StoredObject, StoreError>): JournalProgress {
        val write = checkNotNull(inFlight) { "expected a write in flight, actual none" }
        return acceptOwnWrite(reply, write.nonce).fold(
            success = { written ->
                inFlight = null
                durable += inFlightRecords
                segments[sequence++] = Stored(lastPosition = durable, version = written.version)
                JournalProgress.Durable(durable)
            },
            failure = { error ->
                check(error !is StoreError.TooLarge) { "expected a segment within the limit, actual $error" }
                if (error is StoreError.Conflict) {
                    isFenced = true
                    inFlight = null
                    JournalProgress.Fenced(durable)
                } else {
                    JournalProgress.Retry
                }
            },
        )
    }

    /** The write in flight, for sending again. */
    fun outstanding(): SegmentWrite? = inFlight

    /**
     * Forgets the segments that hold only records before [position], and returns them for deletion. The newest segment
     * always stays, since a successor finds the place of its seal by it.
     */
    fun trimBefore(position: Long): List<DeadObject> {
        val dead = segments.entries
            .takeWhile { it.value.lastPosition < position && it.key < sequence - 1 }
            .associate { it.key to it.value.version }
        segments.keys.removeAll(dead.keys)
        return dead.map { (sequence, version) -> DeadObject(segmentKey(id, sequence), version) }
    }

    private fun takeRecords(): List<JournalRecord> {
        val taken = mutableListOf<JournalRecord>()
        var bytes = 0L
        while (waiting.isNotEmpty()) {
            bytes += waiting.first().bytes
            if (taken.isNotEmpty() && bytes > settings.segmentBytes) break
            val next = waiting.removeFirst()
            waitingBytes -= next.bytes
            taken += next.record
        }
        return taken
    }

    private data class Stored(val lastPosition: Long, val version: Long)

    private data class Waiting(val record: JournalRecord, val bytes: Int, val since: Duration)

    companion object {
        /** Largest record in UTF-8 bytes of its JSON text; a segment of one such record is within the store's limit. */
        const val MAX_RECORD_BYTES: Int = 1_000_000

        /** Whether [record] is small enough for a segment. */
        fun fits(record: JournalRecord): Boolean = encodedBytes(record) <= MAX_RECORD_BYTES

        /** UTF-8 bytes of the JSON text of [record]. */
        fun encodedBytes(record: JournalRecord): Int = utf8Bytes(journalJson.encodeToString(record))
    }
}

/** JSON format of segments. */
val journalJson: Json = Json { ignoreUnknownKeys = true }

private const val SEQUENCE_DIGITS = 12
