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

/** One stored object of a journal. A segment with [isSeal] ends the journal and holds no records. */
@Serializable
data class Segment(
    val sequence: Long,
    val records: List<JournalRecord> = emptyList(),
    val isSeal: Boolean = false,
)

/** Key prefix of the segments of [journal]. */
fun segmentPrefix(journal: String): String = "journal/$journal/"

/** Key of segment [sequence] of [journal]; keys sort by sequence. */
fun segmentKey(journal: String, sequence: Long): String =
    segmentPrefix(journal) + sequence.toString().padStart(SEQUENCE_DIGITS, '0')

/**
 * Batching limits of group commit.
 *
 * @property linger longest wait for more records before a write; zero writes as soon as no write is in flight.
 * @property segmentBytes UTF-8 bytes of records at which a segment is full and is written without lingering.
 * @property writeInterval shortest time between the starts of two writes of segments that are not full. At 20 ms, six
 *   VMs stay within 300 writes per second; the store handles several hundred for the whole fleet.
 */
data class JournalSettings(
    val linger: Duration = 2.milliseconds,
    val segmentBytes: Int = 700_000,
    val writeInterval: Duration = 20.milliseconds,
)

/** A create-if-absent write that the driver of the journal executes. */
data class SegmentWrite(
    val key: String,
    val value: String,
    val nonce: String,
)

/** A stored object that is no longer needed, with the version to delete. */
data class ObsoleteObject(
    val key: String,
    val version: Long,
)

/** Result of a reply to a [SegmentWrite]. */
sealed interface JournalProgress {
    /** All records up to position [upTo] are durable. */
    data class Durable(val upTo: Long) : JournalProgress

    /** The outcome is unknown; the same write must be sent again. */
    data object Retry : JournalProgress

    /** Another VM sealed the journal: no record after position [durableUpTo] is or will become durable. */
    data class Fenced(val durableUpTo: Long) : JournalProgress
}

/**
 * Write-ahead journal of one incarnation. Group commit: records of many programs share one store write.
 *
 * Segments are created with create-if-absent under increasing sequence numbers. A successor seals the journal by
 * creating the next segment itself, so that the next write of a paused owner conflicts and fences it. At most one write
 * is in flight.
 */
class Journal(
    val id: String,
    private val settings: JournalSettings,
    private val clock: MonotonicClock,
    private val nonces: () -> String,
) {
    private val pending = ArrayDeque<PendingRecord>()
    private var pendingBytes = 0L
    private var sequence = 0L
    private var inFlight: SegmentWrite? = null
    private var inFlightRecords = 0
    private var inFlightSince = Duration.ZERO
    private var lastWriteAt: Duration? = null

    /** Durable segments that are not yet trimmed, by sequence number. */
    private val segments = TreeMap<Long, StoredSegment>()

    /** True once a write has conflicted because another VM sealed the journal. */
    var isFenced: Boolean = false
        private set

    /** Position of the last appended record; 0 before the first. */
    var appendedPosition: Long = 0
        private set

    /** Position up to which all records are durable. */
    var durablePosition: Long = 0
        private set

    /** True when every record is durable. */
    val isIdle: Boolean get() = durablePosition == appendedPosition

    /** Number of durable segments that are not yet trimmed. */
    val storedSegments: Int get() = segments.size

    /** Age of the oldest record that is not durable; zero when all are durable. */
    fun oldestPendingAge(): Duration = when {
        inFlight != null -> clock.now() - inFlightSince
        pending.isNotEmpty() -> clock.now() - pending.first().since
        else -> Duration.ZERO
    }

    /**
     * Appends [record] and returns its position; the first is 1.
     *
     * @throws IllegalArgumentException if the record is too large, see [fits].
     * @throws IllegalStateException if the journal is fenced.
     */
    fun append(record: JournalRecord): Long {
        check(!isFenced) { "expected a journal that is not fenced, actual $id is fenced" }
        val bytes = encodedBytes(record)
        require(bytes <= MAX_RECORD_BYTES) { "expected a record of at most $MAX_RECORD_BYTES bytes, actual $bytes" }
        pending.addLast(PendingRecord(record, bytes, clock.now()))
        pendingBytes += bytes
        return ++appendedPosition
    }

    /** Time until [poll] returns a write; null when there are no records to write or a write is in flight. */
    fun dueIn(): Duration? {
        val first = pending.firstOrNull()
        if (first == null || isFenced || inFlight != null) return null
        if (pendingBytes >= settings.segmentBytes) return Duration.ZERO
        val lingered = first.since + settings.linger
        val spaced = lastWriteAt?.let { it + settings.writeInterval } ?: lingered
        return (maxOf(lingered, spaced) - clock.now()).coerceAtLeast(Duration.ZERO)
    }

    /** Returns the write that is due, or null. The driver sends it and calls [onReply]. */
    fun poll(): SegmentWrite? {
        if (dueIn() != Duration.ZERO) return null
        inFlightSince = pending.first().since
        lastWriteAt = clock.now()
        val records = takeRecords()
        val segment = Segment(sequence = sequence, records = records)
        val write = SegmentWrite(segmentKey(id, sequence), journalJson.encodeToString(segment), nonces())
        inFlight = write
        inFlightRecords = records.size
        return write
    }

    /** Handles the reply to the write in flight. */
    fun onReply(reply: Result<StoredObject, StoreError>): JournalProgress {
        val write = checkNotNull(inFlight) { "expected a write in flight, actual none" }
        return acceptOwnWrite(reply, write.nonce).fold(
            success = { written ->
                inFlight = null
                durablePosition += inFlightRecords
                segments[sequence++] = StoredSegment(lastPosition = durablePosition, version = written.version)
                JournalProgress.Durable(durablePosition)
            },
            failure = { error ->
                check(error !is StoreError.TooLarge) { "expected a segment within the limit, actual $error" }
                if (error is StoreError.Conflict) {
                    isFenced = true
                    inFlight = null
                    JournalProgress.Fenced(durablePosition)
                } else {
                    JournalProgress.Retry
                }
            },
        )
    }

    /** The write in flight, to be sent again after [JournalProgress.Retry]; null when there is none. */
    fun outstanding(): SegmentWrite? = inFlight

    /**
     * Removes the segments that hold only records before [position], and returns them for deletion. The newest segment
     * always stays, since a successor places its seal after it.
     */
    fun trimBefore(position: Long): List<ObsoleteObject> {
        val obsolete = segments.entries
            .takeWhile { it.value.lastPosition < position && it.key < sequence - 1 }
            .associate { it.key to it.value.version }
        segments.keys.removeAll(obsolete.keys)
        return obsolete.map { (sequence, version) -> ObsoleteObject(segmentKey(id, sequence), version) }
    }

    private fun takeRecords(): List<JournalRecord> {
        val taken = mutableListOf<JournalRecord>()
        var bytes = 0L
        while (pending.isNotEmpty()) {
            bytes += pending.first().bytes
            if (taken.isNotEmpty() && bytes > settings.segmentBytes) break
            val next = pending.removeFirst()
            pendingBytes -= next.bytes
            taken += next.record
        }
        return taken
    }

    private data class StoredSegment(val lastPosition: Long, val version: Long)

    private data class PendingRecord(val record: JournalRecord, val bytes: Int, val since: Duration)

    companion object {
        /** Largest record in UTF-8 bytes of JSON. A segment with one such record is within the store's size limit. */
        const val MAX_RECORD_BYTES: Int = 1_000_000

        /** Whether [record] is within [MAX_RECORD_BYTES]. */
        fun fits(record: JournalRecord): Boolean = encodedBytes(record) <= MAX_RECORD_BYTES

        /** Size of [record] in UTF-8 bytes of JSON. */
        fun encodedBytes(record: JournalRecord): Int = utf8Bytes(journalJson.encodeToString(record))
    }
}

/** JSON format of segments. */
val journalJson: Json = Json { ignoreUnknownKeys = true }

private const val SEQUENCE_DIGITS = 12
