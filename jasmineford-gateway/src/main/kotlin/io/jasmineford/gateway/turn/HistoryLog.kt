package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.DataInputStream
import java.io.EOFException
import java.io.IOException
import java.io.InputStream
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.concurrent.ConcurrentSkipListMap
import java.util.zip.CRC32

/** Place of a record: the [segment]'s number, and the offset and length of the entry's bytes in it. */
data class RecordLocation(val segment: Int, val offset: Long, val length: Int) {
    /** Bytes that the record takes on disk. */
    val diskBytes: Long get() = (HEADER_BYTES + length).toLong()
}

/**
 * Write-ahead log of history entries in files of limited size, the segments. Each record is preceded by its length and
 * CRC-32. Replay stops at the first torn record of the last segment and truncates the file there: nothing after an
 * unsynced record was acknowledged. Each earlier segment was synced at its full size before the next one was created,
 * so one whose intact records are fewer has lost acknowledged ones.
 *
 * The order of records within the log matters for statuses only. A segment is removed once its entries that are still
 * needed have been appended again; a crash in between leaves some of them twice.
 *
 * The first segment is the file of the releases whose log was a single one. It is renamed when a second one follows, so
 * that such a release takes the disk for an empty one rather than the first segment for the whole log.
 */
class HistoryLog(
    private val folder: LogFolder,
    private val segmentBytes: Long = SEGMENT_BYTES,
) : AutoCloseable {
    private class Segment(val number: Int, var name: String, val file: LogFile, @Volatile var end: Long)

    private val segments = ConcurrentSkipListMap<Int, Segment>()

    /** Whether the log existed before it was opened. */
    val isExisting: Boolean

    constructor(directory: Path) : this(DiskLogFolder(directory))

    init {
        val found = folder.names().mapNotNull { name -> numberOf(name)?.let { it to name } }
        isExisting = found.isNotEmpty()
        found.forEach { (number, name) -> segments[number] = Segment(number, name, folder.open(name), end = 0) }
        if (!isExisting) {
            segments[0] = Segment(0, FIRST_NAME, folder.open(FIRST_NAME), end = 0)
            folder.sync()
        }
    }

    /** Bytes of all segments. */
    val bytes: Long get() = segments.values.sumOf { it.end }

    /** Bytes of each segment that is not written to any more, by its number. */
    val closedSegments: Map<Int, Long>
        get() = segments.headMap(segments.lastKey()).mapValues { (_, segment) -> segment.end }

    /** Numbers of the segments that lack records which were acknowledged; known after the replay. */
    val cutSegments: Set<Int>
        get() = segments.headMap(segments.lastKey()).values.filter { it.isCut }.map { it.number }.toSet()

    private val Segment.isCut: Boolean get() = end < segmentBytes || end < file.length

    /** Passes all intact entries to [onEntry] and returns the length of the log in bytes; see [replayLocated]. */
    fun replay(onEntry: (HistoryEntry) -> Unit): Long = replayLocated { entry, _ -> onEntry(entry) }

    /**
     * Passes all intact entries with their places to [onEntry] and returns the length of the log in bytes. The last
     * segment is truncated after them, and synced: the process before may have ended between a write and its sync.
     */
    fun replayLocated(onEntry: (HistoryEntry, RecordLocation) -> Unit): Long {
        segments.values.forEach { replaySegment(it, onEntry) }
        val active = segments.lastEntry().value
        active.file.truncate(active.end)
        active.file.sync()
        if (segments.size > 1) renameFirst()
        folder.sync()
        return bytes
    }

    private fun replaySegment(segment: Segment, onEntry: (HistoryEntry, RecordLocation) -> Unit) {
        DataInputStream(SegmentInput(segment.file).buffered(REPLAY_BUFFER_BYTES)).use { input ->
            var record = nextRecord(input)
            while (record != null) {
                val entry = decode(record) ?: break
                onEntry(entry, RecordLocation(segment.number, segment.end + HEADER_BYTES, record.size))
                segment.end += HEADER_BYTES + record.size
                record = nextRecord(input)
            }
        }
    }

    /** Bytes of the record at [location]; null if they do not match the checksum. */
    private fun readRecord(segment: Segment, location: RecordLocation): ByteArray? {
        val record = ByteBuffer.allocate(HEADER_BYTES + location.length)
        if (!segment.file.read(record, location.offset - HEADER_BYTES)) return null
        val bytes = record.array().copyOfRange(HEADER_BYTES, record.limit())
        return bytes.takeIf { checksum(it) == record.getInt(CHECKSUM_OFFSET) }
    }

    /** Reads the entry at [location]. */
    fun read(location: RecordLocation): HistoryEntry = segments[location.segment]
        ?.let { readRecord(it, location) }?.let(::decode) ?: throw IOException("no intact record at $location")

    /**
     * Appends [entries], syncs them and returns their places. After an exception none of them counts as written, and
     * the next call writes at the same place.
     */
    fun append(entries: List<HistoryEntry>): List<RecordLocation> {
        val segment = activeSegment()
        val records = entries.map { peerCbor.encodeToByteArray(it) }
        val buffer = ByteBuffer.allocate(records.sumOf { it.size + HEADER_BYTES })
        val locations = records.map { record ->
            buffer.putInt(record.size).putInt(checksum(record)).put(record)
            RecordLocation(segment.number, segment.end + buffer.position() - record.size, record.size)
        }
        buffer.flip()
        try {
            segment.file.write(buffer, segment.end)
            segment.file.sync()
        } catch (e: IOException) {
            runCatching { segment.file.truncate(segment.end) }
            throw e
        }
        segment.end += buffer.limit()
        return locations
    }

    private fun activeSegment(): Segment {
        val last = segments.lastEntry().value
        if (last.end < segmentBytes) return last
        val number = last.number + 1
        val name = nameOf(number)
        renameFirst()
        val next = Segment(number, name, folder.open(name), end = 0)
        try {
            folder.sync()
        } catch (e: IOException) {
            next.file.close()
            throw e
        }
        segments[number] = next
        return next
    }

    private fun renameFirst() {
        val first = segments[0] ?: return
        if (first.name != FIRST_NAME) return
        folder.rename(FIRST_NAME, nameOf(0))
        first.name = nameOf(0)
    }

    /** Removes the closed segment [number], whose entries are no longer needed. */
    fun remove(number: Int) {
        val segment = segments.remove(number) ?: return
        segment.file.close()
        folder.remove(segment.name)
    }

    override fun close() = segments.values.forEach { it.file.close() }

    private companion object {
        /** Size from which a segment is followed by another one. If it grew, older segments would count as cut. */
        const val SEGMENT_BYTES = 4L * 1024 * 1024
        const val CHECKSUM_OFFSET = 4
        const val REPLAY_BUFFER_BYTES = 64 * 1024
    }
}

/** Reads a file from its start to its end. */
private class SegmentInput(private val file: LogFile) : InputStream() {
    private var position = 0L

    override fun read(): Int {
        val byte = ByteArray(1)
        return if (read(byte, 0, 1) < 0) -1 else byte[0].toUByte().toInt()
    }

    override fun read(bytes: ByteArray, offset: Int, length: Int): Int {
        val buffer = ByteBuffer.wrap(bytes, offset, length)
        file.read(buffer, position)
        val count = buffer.position() - offset
        position += count
        return if (count == 0) -1 else count
    }
}

private const val HEADER_BYTES = 8

/** Larger than any turn, which holds a call's body and its events. */
private const val MAX_RECORD_BYTES = 16 * 1024 * 1024
private const val FIRST_NAME = "history.log"
private const val NUMBER_DIGITS = 9
private val NUMBERED_NAME = Regex("history-(\\d{$NUMBER_DIGITS})\\.log")

private fun nameOf(number: Int) = "history-${number.toString().padStart(NUMBER_DIGITS, '0')}.log"

private fun numberOf(name: String): Int? =
    if (name == FIRST_NAME) 0 else NUMBERED_NAME.matchEntire(name)?.groupValues?.get(1)?.toInt()

private fun checksum(bytes: ByteArray) = CRC32().apply { update(bytes) }.value.toInt()

private fun nextRecord(input: DataInputStream): ByteArray? = try {
    val length = input.readInt()
    val sum = input.readInt()
    val bytes = if (length in 1..MAX_RECORD_BYTES) input.readNBytes(length) else ByteArray(0)
    bytes.takeIf { it.size == length && checksum(it) == sum }
} catch (_: EOFException) {
    null
}

private fun decode(record: ByteArray): HistoryEntry? = try {
    peerCbor.decodeFromByteArray<HistoryEntry>(record)
} catch (_: SerializationException) {
    null
}
