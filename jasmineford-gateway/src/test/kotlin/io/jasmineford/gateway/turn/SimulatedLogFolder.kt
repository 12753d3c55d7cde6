package io.jasmineford.gateway.turn

import java.io.IOException
import java.nio.ByteBuffer
import kotlin.random.Random

/** Ends a simulated process in the middle of its work. */
internal class ProcessEnded : RuntimeException("the simulated process has ended")

/**
 * A folder in memory whose unsynced writes and names may be lost, and whose disk may be full.
 *
 * @property endAfter number of changes of the disk after which the process ends; the last write is torn.
 * @property capacity bytes of all files beyond which writes fail.
 */
internal class SimulatedLogFolder(private val random: Random) : LogFolder {
    private class Content(var bytes: ByteArray = ByteArray(0), var synced: ByteArray = ByteArray(0)) {
        var unsynced = ArrayList<Pair<Int, ByteArray>>()
    }

    private val files = HashMap<String, Content>()
    private var syncedNames = HashMap<String, Content>()
    var endAfter = Int.MAX_VALUE
    var capacity = Long.MAX_VALUE
    var changes = 0
        private set

    /** Bytes of all files. */
    val size: Int get() = files.values.sumOf { it.bytes.size }

    private fun change() {
        if (++changes >= endAfter) throw ProcessEnded()
    }

    override fun names() = files.keys.sorted()

    override fun open(name: String): LogFile {
        if (name !in files) {
            change()
            files[name] = Content()
        }
        return File(files.getValue(name))
    }

    override fun rename(from: String, to: String) {
        change()
        files[to] = files.remove(from) ?: throw IOException("no file $from")
    }

    override fun remove(name: String) {
        change()
        files.remove(name) ?: throw IOException("no file $name")
    }

    override fun sync() {
        change()
        syncedNames = HashMap(files)
    }

    /** The machine starts again after a loss of power: what is not synced is there, missing or torn. */
    fun losePower(): SimulatedLogFolder {
        val next = SimulatedLogFolder(random)
        val names = (files.keys + syncedNames.keys).sorted()
        names.forEach { name ->
            val now = files[name]
            val before = syncedNames[name]
            val kept = if (now === before || random.nextBoolean()) now else before
            kept?.let { next.files[name] = Content(afterLoss(it), afterLoss(it)) }
        }
        // A file that was renamed is under one of its names.
        val isRenamed = FIRST in next.files && RENAMED in next.files
        if (isRenamed) next.files.remove(if (random.nextBoolean()) FIRST else RENAMED)
        val renamed = files[RENAMED]
        if (renamed != null && FIRST !in next.files && RENAMED !in next.files) {
            next.files[RENAMED] = Content(afterLoss(renamed), afterLoss(renamed))
        }
        next.files.values.forEach { it.synced = it.bytes }
        next.syncedNames = HashMap(next.files)
        return next
    }

    /** The process is started again on the same machine; unsynced writes are not lost. */
    fun restart(): SimulatedLogFolder {
        val next = SimulatedLogFolder(random)
        next.files.putAll(files)
        next.syncedNames = syncedNames
        return next
    }

    private fun afterLoss(content: Content): ByteArray {
        var bytes = content.synced
        content.unsynced.forEach { (at, written) ->
            val length = if (random.nextBoolean()) written.size else random.nextInt(written.size + 1)
            if (random.nextInt(3) > 0) bytes = overwrite(bytes, at, written.copyOf(length))
        }
        return bytes
    }

    private fun overwrite(bytes: ByteArray, at: Int, written: ByteArray): ByteArray {
        val next = bytes.copyOf(maxOf(bytes.size, at + written.size))
        written.copyInto(next, at)
        return next
    }

    private inner class File(private val content: Content) : LogFile {
        override val length: Long get() = content.bytes.size.toLong()

        override fun read(buffer: ByteBuffer, at: Long): Boolean {
            val end = minOf(content.bytes.size, at.toInt() + buffer.remaining())
            if (end > at) buffer.put(content.bytes, at.toInt(), end - at.toInt())
            return !buffer.hasRemaining()
        }

        override fun write(buffer: ByteBuffer, at: Long) {
            val bytes = ByteArray(buffer.remaining()).also(buffer::get)
            val free = (capacity - size + content.bytes.size - at).coerceIn(0, bytes.size.toLong()).toInt()
            val isEnded = changes + 1 >= endAfter
            val written = bytes.copyOf(if (isEnded) random.nextInt(bytes.size + 1) else free)
            content.bytes = overwrite(content.bytes, at.toInt(), written)
            content.unsynced.add(at.toInt() to written)
            change()
            if (free < bytes.size) throw IOException("the disk is full")
        }

        override fun truncate(length: Long) {
            change()
            if (length >= content.bytes.size) return
            content.bytes = content.bytes.copyOf(length.toInt())
            content.synced = content.synced.copyOf(minOf(content.synced.size, length.toInt()))
            content.unsynced.removeIf { (at, _) -> at >= length }
        }

        override fun sync() {
            change()
            content.synced = content.bytes
            content.unsynced = ArrayList()
        }

        override fun close() = Unit
    }

    private companion object {
        const val FIRST = "history.log"
        const val RENAMED = "history-000000000.log"
    }
}
