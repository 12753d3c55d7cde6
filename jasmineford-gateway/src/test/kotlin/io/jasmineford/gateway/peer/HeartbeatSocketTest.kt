package io.jasmineford.gateway.peer

import io.jasmineford.gateway.limit.AccountUsage
import io.jasmineford.gateway.noOpLog
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.encodeToByteArray
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

class HeartbeatSocketTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val received = LinkedBlockingQueue<Heartbeat>()
    private val loopback = InetAddress.getLoopbackAddress()
    private val sender = DatagramSocket(0, loopback)
    private val port = DatagramSocket(0, loopback).use { it.localPort }

    init {
        HeartbeatSocket(group, InetSocketAddress(loopback, port), noOpLog) { received.add(it) }.open()
    }

    @AfterTest
    fun stop() {
        sender.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun heartbeat(accounts: Int) = Heartbeat(
        from = "edge-1",
        incarnation = 1,
        sequence = 1,
        uses = List(accounts) { AccountUsage("account-$it", it.toLong(), 0.5) },
        programs = mapOf("p" to 1),
        isUsageComplete = true,
    )

    private fun send(bytes: ByteArray) = sender.send(DatagramPacket(bytes, bytes.size, loopback, port))

    @Test
    fun `heartbeats with the usage of many accounts arrive whole`() {
        listOf(90, 800).forEach { accounts ->
            send(peerCbor.encodeToByteArray(heartbeat(accounts)))
            assertEquals(heartbeat(accounts), received.poll(10, TimeUnit.SECONDS))
        }
    }

    @Test
    fun `the usage of more accounts than a datagram holds is split without loss`() {
        val whole = heartbeat(accounts = 2500)
        val parts = whole.parts()
        assertEquals(whole.uses, parts.flatMap { it.uses })
        assertEquals(listOf(false, false, false, true), parts.map { it.isUsageComplete })
        assertEquals(1, parts.count { it.programs.isNotEmpty() })
        parts.forEach { send(peerCbor.encodeToByteArray(it)) }
        assertEquals(parts, parts.map { received.poll(10, TimeUnit.SECONDS) })
    }

    @Test
    fun `malformed datagrams do not stop the socket`() {
        val random = Random(SEED)
        val valid = peerCbor.encodeToByteArray(heartbeat(accounts = 3))
        repeat(DATAGRAMS) { index ->
            val bytes = if (index % 2 == 0) random.nextBytes(random.nextInt(1, 200)) else valid.copyOf()
            repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            send(bytes.copyOf(random.nextInt(1, bytes.size + 1)))
            // Sent often enough that the socket's buffer does not overflow.
            if (index % PAUSE_EVERY == 0) awaitValid(valid)
        }
        awaitValid(valid)
    }

    private fun awaitValid(valid: ByteArray) {
        received.clear()
        send(valid)
        generateSequence { received.poll(10, TimeUnit.SECONDS) ?: error("the socket stopped, seed=$SEED") }
            .first { it == heartbeat(accounts = 3) }
    }

    private companion object {
        const val SEED = 11
        const val DATAGRAMS = 3000
        const val PAUSE_EVERY = 20
    }
}
