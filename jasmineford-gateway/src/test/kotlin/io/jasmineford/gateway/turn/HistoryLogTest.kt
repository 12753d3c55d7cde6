package io.jasmineford.gateway.turn

import org.junit.jupiter.api.io.TempDir
import java.io.RandomAccessFile
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class HistoryLogTest {
    @TempDir
    lateinit var directory: Path

    private fun entry(id: String) = HistoryEntry(
        turn = TurnRecord(id, "club", null, "in".toByteArray(), "out".toByteArray())
    )

    private fun read(): List<String?> = HistoryLog(directory).use { log ->
        val ids = ArrayList<String?>()
        log.replay { ids.add(it.turn?.id) }
        ids
    }

    private fun write(vararg ids: String) = HistoryLog(directory).use { log ->
        log.replay {}
        log.append(ids.map(::entry))
    }

    @Test
    fun `entries are replayed in order, and later ones are appended`() {
        write("a", "b")
        write("c")
        assertEquals(listOf<String?>("a", "b", "c"), read())
    }

    @Test
    fun `a torn record at the end is truncated at any length, and earlier records remain`() {
        write("a", "b")
        val file = directory.resolve("history.log").toFile()
        val whole = file.readBytes()
        write("c")
        val longer = file.readBytes()
        for (length in whole.size until longer.size) {
            file.writeBytes(longer.copyOf(length))
            assertEquals(listOf<String?>("a", "b"), read(), "cut at $length")
        }
    }

    /** A file may be longer than what was written to it before a loss of power. */
    @Test
    fun `zeros behind the last record are no records`() {
        for (zeros in 1..40) {
            directory.resolve("history.log").toFile().delete()
            write("a", "b")
            directory.resolve("history.log").toFile().appendBytes(ByteArray(zeros))
            assertEquals(listOf<String?>("a", "b"), read(), "$zeros zeros")
            write("c")
            assertEquals(listOf<String?>("a", "b", "c"), read(), "$zeros zeros")
        }
    }

    @Test
    fun `replay stops at a corrupt record`() {
        write("a", "b")
        RandomAccessFile(directory.resolve("history.log").toFile(), "rw").use {
            it.seek(it.length() - 1)
            it.write(0)
        }
        assertEquals(listOf<String?>("a"), read())
        write("c")
        assertEquals(listOf<String?>("a", "c"), read())
    }
}
