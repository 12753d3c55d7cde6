package io.jasmineford.gateway.turn

import io.jasmineford.gateway.noOpLog
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HistoryNodeTest {
    @TempDir
    lateinit var directory: Path
    private val control = ArrayBlockingQueue<() -> Unit>(1000)

    private fun node(isFirstStart: Boolean = false) =
        HistoryNode(HistoryLog(directory), noOpLog) { control.add(it) }.also { it.start(isFirstStart) }

    private fun HistoryNode.ask(epoch: Long, request: HistoryRequest): HistoryReply {
        var reply: HistoryReply? = null
        handle(epoch, request) { reply = it }
        while (reply == null) checkNotNull(control.poll(10, TimeUnit.SECONDS)) { "no reply" }()
        return checkNotNull(reply)
    }

    private fun HistoryNode.total(attempt: String) = assertIs<HistoryReply.Reserved>(ask(1, reserve(attempt))).total

    private fun reserve(attempt: String) =
        HistoryRequest.Reserve(TokenEntry(ProgramKey("club", "p"), attempt, tokens = 10, isSettled = false))

    @Test
    fun `reservations add up and survive a restart`() {
        val first = node(isFirstStart = true)
        assertEquals(10, first.total("t1"))
        val second = node()
        assertEquals(20, second.total("t2"))
        assertEquals(20, second.total("t2"))
    }

    @Test
    fun `requests of an older group are refused, also after a restart`() {
        node(isFirstStart = true).ask(3, reserve("t1"))
        val second = node()
        assertEquals(HistoryReply.StaleGroup(3), second.ask(2, reserve("t2")))
        assertIs<HistoryReply.Reserved>(second.ask(3, reserve("t2")))
    }

    @Test
    fun `a daemon with an empty disk neither counts tokens nor denies turns`() {
        val node = node()
        assertEquals(HistoryReply.Incomplete, node.ask(1, reserve("t1")))
        assertEquals(HistoryReply.Incomplete, node.ask(1, HistoryRequest.Chain("turn", "club")))
    }

    @Test
    fun `copies go on where the reader stopped`() {
        val node = node(isFirstStart = true)
        repeat(100) { node.ask(1, reserve("t$it")) }
        val first = assertIs<HistoryReply.Copied>(node.ask(1, HistoryRequest.Copy(0, "reader")))
        val second = assertIs<HistoryReply.Copied>(node.ask(1, HistoryRequest.Copy(first.next, "reader")))
        assertEquals(100, first.entries.size + second.entries.size)
        assertEquals(true, second.isEnd)
        assertEquals(first.next, node.copiedBy["reader"])
    }
}
