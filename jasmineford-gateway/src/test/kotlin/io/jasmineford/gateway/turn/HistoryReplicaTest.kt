package io.jasmineford.gateway.turn

import io.jasmineford.gateway.noOpLog
import org.junit.jupiter.api.io.TempDir
import java.nio.ByteBuffer
import java.nio.file.Path
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HistoryReplicaTest {
    @TempDir
    lateinit var directory: Path
    private val control = ArrayBlockingQueue<() -> Unit>(1000)

    private fun replica(isFirstStart: Boolean = false) =
        HistoryReplica(HistoryLog(directory), noOpLog) { control.add(it) }.also { it.start(isFirstStart) }

    private fun HistoryReplica.ask(epoch: Long, request: HistoryRequest): HistoryReply {
        var reply: HistoryReply? = null
        handle(GroupStamp(epoch), request) { reply = it }
        while (reply == null) checkNotNull(control.poll(10, TimeUnit.SECONDS)) { "no reply" }()
        return checkNotNull(reply)
    }

    private fun HistoryReplica.total(attempt: String) = assertIs<HistoryReply.Reserved>(ask(1, reserve(attempt))).total

    private fun reserve(attempt: String) =
        HistoryRequest.Reserve(TokenEntry(ProgramKey("club", "p"), attempt, tokens = 10, isSettled = false))

    @Test
    fun `reservations add up and survive a restart`() {
        val first = replica(isFirstStart = true)
        assertEquals(10, first.total("t1"))
        val second = replica()
        assertEquals(20, second.total("t2"))
        assertEquals(20, second.total("t2"))
    }

    @Test
    fun `requests of an older epoch are fenced, also after a restart`() {
        replica(isFirstStart = true).ask(3, reserve("t1"))
        val second = replica()
        assertEquals(HistoryReply.StaleGroup(3), second.ask(2, reserve("t2")))
        assertIs<HistoryReply.Reserved>(second.ask(3, reserve("t2")))
    }

    @Test
    fun `a replica that lost its disk neither reports totals nor absent turns`() {
        val replica = replica()
        assertEquals(HistoryReply.Incomplete, replica.ask(1, reserve("t1")))
        assertEquals(HistoryReply.Incomplete, replica.ask(1, HistoryRequest.Chain("turn", "club")))
    }

    @Test
    fun `a copy continues at the position that the reader has reached`() {
        val replica = replica(isFirstStart = true)
        repeat(100) { replica.ask(1, reserve("t$it")) }
        val first = assertIs<HistoryReply.Copied>(replica.ask(1, HistoryRequest.Copy(0, "reader")))
        val second = assertIs<HistoryReply.Copied>(replica.ask(1, HistoryRequest.Copy(first.next, "reader")))
        assertEquals(100, first.entries.size + second.entries.size)
        assertEquals(true, second.isEnd)
        assertEquals(first.next, replica.copiedUpTo["reader"])
    }

    private fun segmented() =
        HistoryReplica(HistoryLog(DiskLogFolder(directory), SEGMENT_BYTES), noOpLog) { control.add(it) }
            .also { it.start(isFirstStart = true) }

    /** Cuts the second of several segments, also between two records. */
    @Test
    fun `a replica whose log has lost the end of an earlier segment counts as one that lost its disk`() {
        segmented().run { repeat(20) { ask(1, reserve("t$it")) } }
        val files = checkNotNull(directory.toFile().listFiles()).associateWith { it.readBytes() }
        val cut = files.keys.sorted()[1]
        val whole = files.getValue(cut)
        val record = RECORD_HEADER_BYTES + ByteBuffer.wrap(whole).getInt()
        listOf(0, record - 1, record, whole.size - 1).forEach { length ->
            directory.toFile().listFiles()?.forEach { it.delete() }
            files.forEach { (file, bytes) -> file.writeBytes(if (file == cut) bytes.copyOf(length) else bytes) }
            val replica = segmented()
            assertEquals(HistoryReply.Incomplete, replica.ask(1, reserve("t20")), "cut at $length")
            replica.updateStatus(replica.status.inGroup(GroupStamp(1)))
            replica.ask(1, HistoryRequest.Copy(0, "reader"))
            replica.completeCopy()
            assertIs<HistoryReply.Reserved>(replica.ask(1, reserve("t20")))
            // What is left has replaced the segment, so the next start finds nothing missing.
            assertEquals(false, cut.exists())
            assertEquals(true, segmented().status.isComplete)
        }
    }

    private fun emptied() = replica().also { it.updateStatus(it.status.inGroup(GroupStamp(1))) }

    @Test
    fun `a replica with an empty disk acknowledges nothing before it knows the stored group`() {
        val replica = replica()
        assertEquals(HistoryReply.Incomplete, replica.ask(3, HistoryRequest.Finish(null, null)))
        replica.updateStatus(replica.status.inGroup(GroupStamp(3)))
        assertEquals(HistoryReply.Finished, replica.ask(3, HistoryRequest.Finish(null, null)))
    }

    @Test
    fun `a replica whose disk is empty is complete only on the first start of the deployment`() {
        emptied().ask(3, reserve("t1"))
        assertEquals(HistoryReply.Incomplete, replica(isFirstStart = true).ask(3, reserve("t2")))
    }

    @Test
    fun `the entries of a replica that is not complete are marked in its replies`() {
        val replica = emptied()
        replica.ask(1, reserve("t1"))
        val tokens = assertIs<HistoryReply.Tokens>(replica.ask(1, HistoryRequest.Tokens(ProgramKey("club", "p"))))
        assertEquals(false, tokens.isComplete)
        assertEquals(1, tokens.entries.size)
        val copied = assertIs<HistoryReply.Copied>(replica.ask(1, HistoryRequest.Copy(0, "reader")))
        assertEquals(false, copied.status?.isComplete)
    }

    /** Guards against a machine that is taken away although its entries were copied for an earlier group only. */
    @Test
    fun `copies are counted anew under each epoch`() {
        val replica = replica(isFirstStart = true)
        replica.ask(1, HistoryRequest.Copy(0, "reader"))
        assertEquals(mapOf("reader" to 0), replica.copiedUpTo)
        replica.updateStatus(replica.status.inGroup(GroupStamp(2)))
        assertEquals(emptyMap(), replica.copiedUpTo)
    }

    private companion object {
        /** Less than three records. */
        const val SEGMENT_BYTES = 300L
        const val RECORD_HEADER_BYTES = 8
    }
}
