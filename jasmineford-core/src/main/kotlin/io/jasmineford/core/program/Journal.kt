package io.jasmineford.core.program

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.acceptOwnWrite
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
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
 * @property segmentBytes text of records after which a segment is full.
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
    private val id: String,
    private val settings: JournalSettings,
    private val clock: MonotonicClock,
    private val nonces: () -> String,
) {
    private val waiting = ArrayDeque<JournalRecord>()
    private var waitingSince = Duration.ZERO
    private var appended = 0L
    private var durable = 0L
    private var sequence = 0L
    private var inFlight: SegmentWrite? = null
    private var inFlightRecords = 0

    /** True after another VM sealed the journal. */
    var isFenced: Boolean = false
        private set

    /** Adds [record] and returns its position; the first is 1. */
    fun append(record: JournalRecord): Long {
        check(!isFenced) { "expected a journal that is not fenced, actual $id is fenced" }
        if (waiting.isEmpty()) waitingSince = clock.now()
        waiting.addLast(record)
        return ++appended
    }

    /** The write that is due, or null. The driver sends it and calls [onReply]. */
    fun poll(): SegmentWrite? {
        val isDue = waiting.isNotEmpty() && clock.now() - waitingSince >= settings.linger
        if (isFenced || inFlight != null || !isDue) return null
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
            success = {
                inFlight = null
                sequence++
                durable += inFlightRecords
                if (waiting.isNotEmpty()) waitingSince = clock.now()
                JournalProgress.Durable(durable)
            },
            failure = { error ->
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

    private fun takeRecords(): List<JournalRecord> {
        val taken = mutableListOf<JournalRecord>()
        var bytes = 0
        while (waiting.isNotEmpty()) {
            bytes += journalJson.encodeToString(waiting.first()).length
            if (taken.isNotEmpty() && bytes > settings.segmentBytes) break
            taken += waiting.removeFirst()
        }
        return taken
    }
}

/** JSON format of segments. */
val journalJson: Json = Json { ignoreUnknownKeys = true }

private const val SEQUENCE_DIGITS = 12
