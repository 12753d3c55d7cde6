package io.jasmineford.gateway.turn

import io.jasmineford.gateway.peer.peerCbor
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.DataInputStream
import java.io.EOFException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption
import java.util.zip.CRC32

/**
 * Write-ahead log of history entries. Each record is preceded by its length and CRC-32. Replay stops at the first torn
 * record and truncates the file there: nothing after an unsynced record was acknowledged.
 */
class HistoryLog(private val directory: Path) : AutoCloseable {
    private val path = directory.resolve(FILE_NAME)
    private val file: FileChannel

    /** Whether the file existed before this log was opened. */
    val isExisting: Boolean = path.toFile().exists()

    init {
        directory.toFile().mkdirs()
        file = FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)
        if (!isExisting) syncDirectory()
    }

    /** Passes all intact entries to [onEntry], truncates the file after them and returns its length in bytes. */
    fun replay(onEntry: (HistoryEntry) -> Unit): Long {
        var end = 0L
        DataInputStream(path.toFile().inputStream().buffered()).use { input ->
            var record = readRecord(input)
            while (record != null) {
                decode(record)?.let(onEntry) ?: break
                end += HEADER_BYTES + record.size
                record = readRecord(input)
            }
        }
        file.truncate(end)
        file.position(end)
        return end
    }

    /** Appends [entries] and syncs the file. */
    fun append(entries: List<HistoryEntry>) {
        val records = entries.map { peerCbor.encodeToByteArray(it) }
        val buffer = ByteBuffer.allocate(records.sumOf { it.size + HEADER_BYTES })
        records.forEach { record ->
            buffer.putInt(record.size).putInt(checksum(record)).put(record)
        }
        buffer.flip()
        while (buffer.hasRemaining()) file.write(buffer)
        file.force(false)
    }

    override fun close() = file.close()

    private fun readRecord(input: DataInputStream): ByteArray? = try {
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

    private fun checksum(bytes: ByteArray) = CRC32().apply { update(bytes) }.value.toInt()

    private fun syncDirectory() {
        FileChannel.open(directory, StandardOpenOption.READ).use { it.force(true) }
    }

    private companion object {
        const val FILE_NAME = "history.log"
        const val HEADER_BYTES = 8

        /** Larger than any turn, which holds a call's body and its events. */
        const val MAX_RECORD_BYTES = 16 * 1024 * 1024
    }
}
