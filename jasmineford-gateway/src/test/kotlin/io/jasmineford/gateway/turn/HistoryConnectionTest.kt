package io.jasmineford.gateway.turn

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.peerCbor
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A history daemon whose replies come late, twice or unreadable. Guards against a reply that is taken for that of
 * another request, and against requests that wait for a reply that can't come.
 */
class HistoryConnectionTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()
    private val server = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())
    private val accepted = AtomicInteger()
    private val ended = CompletableFuture<Unit>()
    private val member =
        Member("s1", 1, "a", "r", isEntry = false, ip = server.inetAddress.hostAddress, peerPort = server.localPort)
    private val connection = HistoryConnection(group, member, systemMonotonicClock(), noOpLog)

    @AfterTest
    fun stop() {
        server.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    /** Sends what [answer] returns for each request frame and the number of its connection. */
    private fun serve(answer: DataOutputStream.(RequestFrame, Int) -> Unit) {
        thread(isDaemon = true) {
            try {
                while (true) {
                    val socket = server.accept()
                    val number = accepted.getAndIncrement()
                    thread(isDaemon = true) { serve(socket, number, answer) }
                }
            } catch (_: IOException) {
                // The test has ended.
            }
        }
    }

    private fun serve(socket: Socket, number: Int, answer: DataOutputStream.(RequestFrame, Int) -> Unit) = try {
        socket.use {
            val input = DataInputStream(it.getInputStream())
            val output = DataOutputStream(it.getOutputStream())
            while (true) {
                val frame = peerCbor.decodeFromByteArray<RequestFrame>(input.readNBytes(input.readInt()))
                output.answer(frame, number)
                output.flush()
            }
        }
    } catch (_: IOException) {
        ended.complete(Unit)
    }

    private fun DataOutputStream.frame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }

    private fun DataOutputStream.reply(number: Long, total: Long) =
        frame(peerCbor.encodeToByteArray(ReplyFrame(number, HistoryReply.Reserved(total, 0))))

    private fun request(
        timeout: Duration = LONG,
        request: HistoryRequest = HistoryRequest.Tokens(ProgramKey("club", "p")),
    ): CompletableFuture<HistoryReply?> {
        val reply = CompletableFuture<HistoryReply?>()
        loop.execute { connection.send(GroupStamp(1), request, timeout) { reply.complete(it) } }
        return reply
    }

    private fun CompletableFuture<HistoryReply?>.await() = get(WAIT_SECONDS, TimeUnit.SECONDS)

    private fun CompletableFuture<HistoryReply?>.total() = assertIs<HistoryReply.Reserved>(await()).total

    @Test
    fun `replies in another order or twice reach their own requests`() {
        val held = ArrayList<Long>()
        serve { frame, _ ->
            held.add(frame.number)
            if (held.size == 3) held.reversed().forEach { number -> repeat(2) { reply(number, number * 10) } }
        }
        val replies = List(3) { request() }
        assertEquals(listOf(0L, 10L, 20L), replies.map { it.total() })
    }

    @Test
    fun `a reply that comes after its request was given up is not that of the next one`() {
        serve { frame, _ ->
            if (frame.number == 1L) reply(0, total = 5)
            if (frame.number > 0) reply(frame.number, total = 7)
        }
        assertNull(request(timeout = SHORT).await())
        assertEquals(7, request().total())
    }

    /** Guards against a timer that is set for one request and misses those that end earlier or begin later. */
    @Test
    fun `each request ends at its own time limit`() {
        serve { frame, _ -> if (frame.number == LAST) reply(number = 0, total = 5) }
        val long = request()
        val short = List(2) { request(timeout = SHORT) }
        short.forEach { assertNull(it.await()) }
        assertNull(request(timeout = SHORT).await())
        assertNull(request(timeout = SHORT).await())
        assertEquals(5, long.total())
    }

    @Test
    fun `an unreadable reply ends all requests that wait and the connection`() {
        serve { frame, number ->
            when {
                number > 0 -> reply(frame.number, total = 7)
                frame.number == 1L -> frame(byteArrayOf(1, 2, 3))
            }
        }
        val waiting = List(2) { request() }
        waiting.forEach { assertNull(it.await()) }
        ended.get(WAIT_SECONDS, TimeUnit.SECONDS)
        assertEquals(7, request().total())
        assertEquals(2, accepted.get())
    }

    @Test
    fun `a reply that is too long ends all requests that wait and the connection`() {
        serve { frame, number -> if (number > 0) reply(frame.number, total = 7) else writeInt(Int.MAX_VALUE) }
        assertNull(request().await())
        assertEquals(7, request().total())
    }

    @Test
    fun `requests end when the connection does`() {
        serve { frame, number -> if (number > 0) reply(frame.number, total = 7) else throw IOException("closed") }
        assertNull(request().await())
        assertEquals(7, request().total())
    }

    @Test
    fun `a reply that is cut at any byte before the connection ends is none`() {
        val reply = peerCbor.encodeToByteArray(ReplyFrame(0, HistoryReply.Turns(emptyList(), missing = null)))
        serve { _, number ->
            writeInt(reply.size)
            write(reply, 0, number)
            flush()
            throw IOException("closed")
        }
        assertEquals(emptyList(), reply.indices.filter { request().await() != null })
        assertEquals(reply.size, accepted.get())
    }

    /** Guards against a connection to a daemon that has left, which nobody closes. */
    @Test
    fun `a connection that is closed while it is being opened does not stay open`() {
        serve { frame, _ -> reply(frame.number, total = 7) }
        val reply = CompletableFuture<HistoryReply?>()
        loop.execute {
            val request = HistoryRequest.Tokens(ProgramKey("club", "p"))
            connection.send(GroupStamp(1), request, LONG) { reply.complete(it) }
            connection.close()
        }
        assertNull(reply.await())
        ended.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    /** Guards against a daemon whose direct memory is full of turns for a history daemon that stands still. */
    @Test
    fun `few bytes wait for a daemon that does not read, and it gets requests again once it does`() {
        val wakes = CountDownLatch(1)
        serve { frame, _ ->
            wakes.await(WAIT_SECONDS, TimeUnit.SECONDS)
            reply(frame.number, total = 7)
        }
        val turn = TurnRecord("t", "club", previous = null, ByteArray(TURN_BYTES), ByteArray(0))
        val unread = List(TURNS) {
            assertNull(request(SHORT, HistoryRequest.Finish(tokens = null, turn)).await())
            CompletableFuture.supplyAsync({ connection.unreadBytes }, loop).get(WAIT_SECONDS, TimeUnit.SECONDS)
        }
        assertTrue(unread.max() < MAX_UNREAD_BYTES + 2 * TURN_BYTES, "${unread.max()} bytes are held")
        // With a time limit longer than the test waits.
        assertNull(request().await())
        wakes.countDown()
        val until = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
        val tries = generateSequence { request(SHORT) }.takeWhile { System.nanoTime() < until }
        assertIs<HistoryReply.Reserved>(tries.firstNotNullOf { it.await() })
    }

    private companion object {
        const val CONNECTIONS = 8
        const val WAIT_SECONDS = 20L

        /** Longer than the test waits, so a request that ends by it fails the test. */
        val LONG = 60.seconds
        val SHORT = 100.milliseconds

        /** Turns that take much more than the socket's buffers and the bytes that may wait. */
        const val TURNS = 40
        const val TURN_BYTES = 1024 * 1024
        const val MAX_UNREAD_BYTES = 4L * 1024 * 1024

        /** Number of the last of five requests. */
        const val LAST = 4L
    }
}
