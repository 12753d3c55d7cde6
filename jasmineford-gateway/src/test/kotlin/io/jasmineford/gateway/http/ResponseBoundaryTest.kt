package io.jasmineford.gateway.http

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/**
 * Bytes around the response to a request. Guards against bytes that reach a caller as a part of another response, and
 * against a connection that is used again after it carried some.
 */
class ResponseBoundaryTest {
    private val channel = EmbeddedChannel()
    private val unmatched = ArrayList<Int>()
    private val connection = HttpClientConnection(channel) { _, head -> unmatched.add(head.status().code()) }
    private val received = StringBuilder()

    init {
        connection.install()
    }

    private val listener = object : ResponseListener {
        override val identity = ResponseIdentity("Attempt", "a1", "Signature", "Not-Executed")

        override fun onHead(head: HttpResponse, meaning: ResponseMeaning) {
            received.append("$meaning ${head.status().code()} ")
        }

        override fun onData(data: ByteBuf) {
            received.append(data.toString(Charsets.UTF_8))
        }

        override fun onEnd() {
            received.append(" end")
        }

        override fun onFailure(reason: String) {
            received.append("failed: $reason")
        }
    }

    private fun send(method: HttpMethod = HttpMethod.GET) {
        connection.send(DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/p/", Unpooled.EMPTY_BUFFER), listener)
        channel.releaseOutbound()
    }

    private fun read(text: String) {
        channel.writeInbound(Unpooled.copiedBuffer(text, Charsets.UTF_8))
    }

    private fun outcomeOf(text: String): String {
        send()
        read(text)
        return received.toString()
    }

    @Test
    fun `a response leaves the connection usable`() {
        assertEquals("EXECUTED 200 done end", outcomeOf(OWN))
        assertTrue(connection.isReusable)
        received.clear()
        assertEquals("EXECUTED 200 done end", outcomeOf(OWN))
    }

    /** Guards against a part of a response that runs on into the head of the next one. */
    @Test
    fun `bytes on an idle connection close it before a request is sent`() {
        read("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX: ")
        assertFalse(connection.isReusable)
        assertFalse(channel.isOpen)
    }

    @Test
    fun `a response on an idle connection is reported and closes it`() {
        read("HTTP/1.1 500 Oh\r\nAttempt: a0\r\nContent-Length: 0\r\n\r\n")
        assertEquals(listOf(500), unmatched)
        assertFalse(channel.isOpen)
    }

    @Test
    fun `bytes that come with the end of a response leave it complete and the connection unusable`() {
        val behind = listOf("HTTP/1.1 200 OK\r\nAtt", "\r\n", OWN)
        behind.forEach { ResponseBoundaryTest().checkBehind(it, "EXECUTED 200 done end") }
    }

    /** Guards against a body that noise has filled: it may have begun before the end of the body. */
    @Test
    fun `noise that comes with the end of a response breaks the call off`() {
        val outcome = "EXECUTED 200 donefailed: bytes that are no response behind the body"
        listOf("x", "Hello").forEach { ResponseBoundaryTest().checkBehind(it, outcome) }
    }

    private fun checkBehind(behind: String, outcome: String) {
        assertEquals(outcome, outcomeOf(OWN + behind), behind)
        assertFalse(connection.isReusable, behind)
    }

    @Test
    fun `responses to other calls and interim ones are skipped`() {
        val other = OWN.replace("a1", "a2")
        assertEquals("EXECUTED 200 done end", outcomeOf("HTTP/1.1 102 Wait\r\n\r\n$other$OWN"))
        assertEquals(listOf(200), unmatched)
        assertFalse(connection.isReusable)
    }

    @Test
    fun `an interim response leaves the connection usable`() {
        assertEquals("EXECUTED 200 done end", outcomeOf("HTTP/1.1 100 Continue\r\n\r\n$OWN"))
        assertTrue(connection.isReusable)
    }

    /** Guards against the status of one response that is taken for the call of the next one. */
    @Test
    fun `a part of a response in front of a response breaks the call off`() {
        val parts = listOf(
            "HTT", "HTTP/1.1 5", "HTTP/1.1 500 O", "HTTP/1.1 503 Full\r\nNot-Exec",
            "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nX: y",
            "HTTP/1.1 500 Oh\r\nAttempt: a", "HTTP/1.1 500 Oh\r\nAttempt: a0\r\nX: ", "HTTP/1.1 102 Wait\r\nX: ",
            "noise", "noise\r\n", "HTTP/1.1 200 OK\r\nSignature: s\r\nX:\r\n ",
        )
        parts.forEach { part ->
            val outcome = ResponseBoundaryTest().outcomeOf(part + OWN)
            assertTrue(outcome.startsWith("failed"), "$part: $outcome")
        }
    }

    /** Guards against a success whose head runs on into a failure that is not written as others are. */
    @Test
    fun `a head that runs on into any form of a status line breaks the call off`() {
        val lines = listOf("HTTP/1.1  500 Oh", "HTTP/1.1\t500 Oh", "http/1.1 500 Oh", "HTTP/2 500", "HTTP/1.0 500")
        lines.forEach { line ->
            val head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nX: $line\r\nContent-Length: 2\r\n\r\nno"
            val outcome = ResponseBoundaryTest().outcomeOf(head)
            assertTrue(outcome.startsWith("failed"), "$line: $outcome")
        }
    }

    /** Guards against a head that stopped inside the name of its coding, whose body would end with the connection. */
    @Test
    fun `a response in an unknown transfer coding breaks the call off`() {
        val head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nTransfer-Encoding: chunknoise\r\n\r\nnoise"
        assertEquals("failed: unknown transfer coding", outcomeOf(head))
    }

    @Test
    fun `a header may name a version of the protocol`() {
        val named = OWN.replace("Signature", "Server: FastHTTP/1.1 (200)\r\nSignature")
        assertEquals("EXECUTED 200 done end", outcomeOf(named))
    }

    @Test
    fun `a success without a signature, or with several ids or signatures, breaks the call off`() {
        val heads = listOf(
            "Attempt: a1",
            "Attempt: a1\r\nSignature: ",
            "Attempt: a1\r\nSignature: s\r\nSignature: t",
            "Attempt: a1\r\nAttempt: a2\r\nSignature: s",
        )
        heads.forEach { head ->
            val outcome = ResponseBoundaryTest().outcomeOf("HTTP/1.1 200 OK\r\n$head\r\nContent-Length: 0\r\n\r\n")
            assertTrue(outcome.startsWith("failed"), "$head: $outcome")
        }
    }

    @Test
    fun `a refusal tells that the call did not run only if it states so`() {
        val refusal = "HTTP/1.1 503 Full\r\nAttempt: a1\r\nContent-Length: 0\r\n"
        assertEquals("NOT_EXECUTED 503  end", ResponseBoundaryTest().outcomeOf("${refusal}Not-Executed: 1\r\n\r\n"))
        assertEquals("UNPROVEN_REFUSAL 503  end", ResponseBoundaryTest().outcomeOf("$refusal\r\n"))
    }

    @Test
    fun `a switch of the protocol breaks the call off`() {
        val switch = "HTTP/1.1 101 Go\r\nAttempt: a1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        assertEquals("failed: protocol was switched", outcomeOf(switch))
    }

    @Test
    fun `responses without end that belong to other requests break the call off`() {
        assertEquals("failed: responses without end", outcomeOf("HTTP/1.1 102 Wait\r\n\r\n".repeat(100)))
        val other = ResponseBoundaryTest()
        other.outcomeOf("HTTP/1.1 200 OK\r\n\r\n")
        repeat(17) { other.read("x".repeat(65_536)) }
        assertEquals("failed: responses to other requests without end", other.received.toString())
        assertFalse(other.channel.isOpen)
    }

    @Test
    fun `a response without a length is complete at an orderly close only`() {
        val head = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n"
        val ends = mapOf<String, (EmbeddedChannel) -> Unit>(
            "EXECUTED 200 done end" to { it.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE) },
            "EXECUTED 200 donefailed: reset" to { it.pipeline().fireExceptionCaught(IOException("reset")) },
            // Also after a reset that was noticed by a write.
            "EXECUTED 200 donefailed: connection closed" to { it.close() },
        )
        ends.forEach { (expected, end) ->
            val test = ResponseBoundaryTest()
            test.outcomeOf(head + "done")
            end(test.channel)
            test.channel.runPendingTasks()
            assertEquals(expected, test.received.toString())
            assertFalse(test.connection.isReusable)
            assertFalse(test.channel.isOpen)
        }
    }

    @Test
    fun `a response that is shorter than its length is broken off by an orderly close`() {
        val bodies = listOf(
            "Content-Length: 9\r\n\r\ndone",
            "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n",
            "Transfer-Encoding: chunked\r\n\r\n9\r\ndone",
        )
        bodies.forEach { framing ->
            val test = ResponseBoundaryTest()
            test.outcomeOf("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n$framing")
            test.channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
            assertTrue(test.received.endsWith("failed: connection closed"), "$framing: ${test.received}")
        }
    }

    @Test
    fun `the response to a HEAD request ends with its head`() {
        send(HttpMethod.HEAD)
        read("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 5\r\n\r\n")
        assertEquals("EXECUTED 200  end", received.toString())
        assertTrue(connection.isReusable)
    }

    private companion object {
        const val OWN = "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone"
    }
}
