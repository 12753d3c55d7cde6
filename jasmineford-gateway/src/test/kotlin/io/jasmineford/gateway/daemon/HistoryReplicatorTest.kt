package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.GroupStamp
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryLog
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.HistoryServer
import io.jasmineford.gateway.turn.ProgramKey
import io.jasmineford.gateway.turn.TokenEntry
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.io.TempDir
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration

/** A copy whose source is started again while the reader knows the registration of the former process only. */
class HistoryReplicatorTest {
    @TempDir
    lateinit var directory: Path
    private val groups = ArrayList<EventLoopGroup>()
    private val loopback = InetAddress.getLoopbackAddress()
    private val port = ServerSocket(0, 1, loopback).use { it.localPort }
    private val source = Peer(Member("s1", 1, "a", "r", false, loopback.hostAddress, port), Duration.ZERO)
    private val group = HistoryGroup(1, listOf("s1", "s2"))

    @AfterTest
    fun stop() = groups.forEach { it.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly() }

    private fun loops() = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).also { groups += it }

    private fun replica(name: String, loops: EventLoopGroup): HistoryReplica {
        val loop = loops.next()
        return HistoryReplica(HistoryLog(directory.resolve(name)), noOpLog) { loop.execute(it) }
            .also { it.start(isFirstStart = true) }
    }

    private fun HistoryReplica.store(loops: EventLoopGroup, attempts: IntRange) = attempts.forEach { attempt ->
        val entry = TokenEntry(ProgramKey("club", "p"), "t$attempt", tokens = 1, isSettled = false)
        val reply = CompletableFuture<HistoryReply>()
        loops.next().submit { handle(GroupStamp(1), HistoryRequest.Reserve(entry)) { reply.complete(it) } }
        reply.get(WAIT_SECONDS, TimeUnit.SECONDS)
    }

    private fun serve(name: String, attempts: IntRange): EventLoopGroup {
        val loops = loops()
        val replica = replica(name, loops)
        replica.store(loops, attempts)
        HistoryServer(loops, replica, noOpLog).open(InetSocketAddress(loopback, port))
        return loops
    }

    private fun HistoryReplicator.copy(loop: EventLoop) {
        loop.submit { restart() }.get()
        val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
        while (loop.submit<Boolean> { "s1" in sources }.get() != true) {
            check(System.nanoTime() < end) { "the copy does not end" }
            loop.submit { copyFrom(source, group) }.get()
        }
    }

    /** The former process held more records than the one that read its log anew, as replaced ones take no position. */
    @Test
    fun `a copy from a process that has started since begins anew`() {
        val former = serve("former", 1..5)
        val loops = loops()
        val reader = replica("reader", loops)
        val replicator = HistoryReplicator("s2", reader) {
            HistoryConnection(loops, it, systemMonotonicClock(), noOpLog)
        }
        loops.next().submit { reader.updateStatus(reader.status.inGroup(GroupStamp(1))) }.get()
        replicator.copy(loops.next())
        former.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly()
        serve("later", 6..9)
        replicator.copy(loops.next())
        assertEquals(9, loops.next().submit<Int> { reader.size }.get())
    }

    private companion object {
        const val WAIT_SECONDS = 20L
    }
}
