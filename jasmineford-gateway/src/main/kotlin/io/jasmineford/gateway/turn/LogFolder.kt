package io.jasmineford.gateway.turn

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

/** Folder with the files of a history log. All functions throw `IOException` when the disk fails or is full. */
interface LogFolder {
    /** Names of the files. */
    fun names(): List<String>

    /** Opens the file [name] and creates it if it is missing. */
    fun open(name: String): LogFile

    /** Renames a file, which may be open. */
    fun rename(from: String, to: String)

    /** Removes a file. */
    fun remove(name: String)

    /** Makes it durable which files were created, renamed and removed. */
    fun sync()
}

/** A file of a history log. */
interface LogFile : AutoCloseable {
    /** Length in bytes. */
    val length: Long

    /** Reads from offset [at] on until [buffer] is full, or the file ends, which returns false. */
    fun read(buffer: ByteBuffer, at: Long): Boolean

    /** Writes all of [buffer] at offset [at]. */
    fun write(buffer: ByteBuffer, at: Long)

    /** Removes all bytes from [length] on. */
    fun truncate(length: Long)

    /** Makes all bytes durable. */
    fun sync()
}

/** A folder of the disk. */
class DiskLogFolder(private val directory: Path) : LogFolder {
    init {
        Files.createDirectories(directory)
    }

    override fun names(): List<String> = directory.toFile().list().orEmpty().sorted()

    override fun open(name: String): LogFile = DiskLogFile(
        FileChannel.open(
            directory.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE,
        ),
    )

    override fun rename(from: String, to: String) {
        Files.move(directory.resolve(from), directory.resolve(to), StandardCopyOption.ATOMIC_MOVE)
    }

    override fun remove(name: String) = Files.delete(directory.resolve(name))

    override fun sync() = FileChannel.open(directory, StandardOpenOption.READ).use { it.force(true) }
}

private class DiskLogFile(private val channel: FileChannel) : LogFile {
    override val length: Long get() = channel.size()

    override fun read(buffer: ByteBuffer, at: Long): Boolean {
        var position = at
        var count = 0
        while (buffer.hasRemaining() && count >= 0) {
            count = piece(buffer) { channel.read(it, position) }
            position += count
        }
        return !buffer.hasRemaining()
    }

    override fun write(buffer: ByteBuffer, at: Long) {
        var position = at
        while (buffer.hasRemaining()) position += piece(buffer) { channel.write(it, position) }
    }

    /** Each thread keeps a direct buffer as large as the largest one that it has read or written. */
    private fun piece(buffer: ByteBuffer, transfer: (ByteBuffer) -> Int): Int {
        val end = buffer.limit()
        buffer.limit(minOf(end, buffer.position() + MAX_TRANSFER_BYTES))
        return try {
            transfer(buffer)
        } finally {
            buffer.limit(end)
        }
    }

    override fun truncate(length: Long) {
        channel.truncate(length)
    }

    override fun sync() = channel.force(false)

    override fun close() = channel.close()

    private companion object {
        const val MAX_TRANSFER_BYTES = 256 * 1024
    }
}
