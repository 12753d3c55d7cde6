package io.jasmineford.gateway.daemon

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.config.WeightedService
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.rollout.RolloutBounds
import io.jasmineford.gateway.rollout.TestFormat
import io.jasmineford.gateway.settings.NodeRole
import io.jasmineford.gateway.settings.NodeSettings
import io.jasmineford.gateway.settings.PromisedBounds
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectPage
import io.jasmineford.gateway.store.SilentObjectStore
import io.jasmineford.gateway.store.StoreReply
import io.jasmineford.gateway.store.StoredObject
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * An entry daemon that rolls a service out between two endpoints. Guards against a daemon that doesn't connect orders,
 * placement, the ends of calls and the status with each other, and against rollouts where the settings have none.
 */
class RolloutDaemonTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val worker = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())
    private val requests = LinkedBlockingQueue<String>()
    private val store = OrderStore()

    /** Status that the endpoint of an id answers. */
    private val answers = ConcurrentHashMap<String, String>()

    @AfterTest
    fun stop() {
        worker.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a good version gets some calls, then all, and is completed`() {
        assertEquals(listOf("RUNNING/v2", "COMPLETED/v2"), rollOut())
        assertEquals(setOf("v2"), requests.toList().takeLast(20).toSet())
    }

    @Test
    fun `a version whose calls fail is rolled back`() {
        answers["v2"] = "500 Failed"
        assertEquals(listOf("RUNNING/v2", "ROLLED_BACK/v2"), rollOut())
        assertEquals(setOf("v1"), requests.toList().takeLast(20).toSet())
    }

    @Test
    fun `without rollouts in the settings no order is read and no status written`() {
        assertEquals(emptyList(), rollOut(bounds = null))
        assertEquals(false, ObjectKind.ROLLOUT in store.read)
    }

    /** Calls a daemon until the order ends or its time is over, and 20 times more; returns the written status. */
    private fun rollOut(bounds: RolloutBounds? = RolloutBounds(0.1, 50.0, 5.seconds)): List<String> {
        thread(isDaemon = true) { while (!worker.isClosed) accept() }
        val clock = systemMonotonicClock()
        val callers = InetSocketAddress(InetAddress.getLoopbackAddress(), freePort())
        val node = NodeRuntime(settings(callers, bounds), group, clock, { 1 }, noOpLog, store, Decoder())
        val daemon = EntryDaemon(node, headerNames, TestFormat)
        daemon.open()
        node.loop.submit { daemon.start() }.get()
        val end = clock.now() + ORDER_SECONDS.seconds
        var number = 0
        while (clock.now() < end && store.written.size < 2) call(callers, "a${number++}")
        repeat(20) { call(callers, "b$it") }
        return store.written.toList()
    }

    private fun accept() {
        try {
            val connection = worker.accept()
            thread(isDaemon = true) { connection.use(::serve) }
        } catch (_: IOException) {
            // The test has ended.
        }
    }

    private fun serve(connection: Socket) = try {
        val reader = connection.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val id = head.first { it.startsWith("Attempt", ignoreCase = true) }
            val version = head.first { it.startsWith("Expected", ignoreCase = true) }.substringAfter(':').trim()
            requests.add(version)
            val status = answers[version] ?: "200 OK"
            val text = "HTTP/1.1 $status\r\n$id\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
            connection.getOutputStream().write(text.toByteArray())
        }
    } catch (_: IOException) {
        // The daemon has closed the connection, or the test has ended.
    } catch (_: NoSuchElementException) {
        // The connection has ended.
    }

    private fun call(callers: InetSocketAddress, id: String) = Socket(callers.address, callers.port).use { socket ->
        socket.soTimeout = WAIT_MILLIS
        val request = "GET /p/ HTTP/1.1\r\nHost: h\r\nAttempt: $id\r\nConnection: close\r\n\r\n"
        socket.getOutputStream().write(request.toByteArray())
        socket.getInputStream().bufferedReader().readLine()
    }

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private fun settings(callers: InetSocketAddress, rollouts: RolloutBounds?): NodeSettings {
        val any = InetSocketAddress(InetAddress.getLoopbackAddress(), 0)
        return NodeSettings(
            name = "edge-1",
            role = NodeRole.ENTRY,
            zone = "a",
            region = "r",
            callerAddress = callers,
            readinessAddress = null,
            addressServiceAddress = null,
            peerAddress = any,
            metricsAddress = any,
            storeAddress = any,
            dataDirectory = null,
            isFirstStart = true,
            toleratedDiskLosses = 1,
            bounds = PromisedBounds(8.seconds, 5.seconds, true, RateLimitTolerance(5.seconds, 0.1, 20.0)),
            rollouts = rollouts,
        )
    }

    /** Store with two endpoints and an order. */
    private class OrderStore : SilentObjectStore() {
        val written = LinkedBlockingQueue<String>()
        val read: MutableSet<ObjectKind> = ConcurrentHashMap.newKeySet()
        private var order = StoredObject("models", revision = 1, JsonPrimitive("v2/$ORDER_SECONDS"))
        private var watch: ((StoreReply<ObjectPage>) -> Unit)? = null

        override fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit) {
            read.add(kind)
            val objects = when (kind) {
                ObjectKind.CONFIGURATION -> listOf(StoredObject("main", revision = 1, spec = null))
                ObjectKind.ENDPOINT -> listOf("v1", "v2").map { StoredObject(it, revision = 1, spec = null) }
                ObjectKind.ROLLOUT -> listOf(order)
                else -> emptyList()
            }
            onReply(StoreReply.Success(ObjectPage(objects, order.revision, after = null)))
        }

        override fun watch(
            kind: ObjectKind,
            revision: Long,
            wait: Duration,
            onReply: (StoreReply<ObjectPage>) -> Unit,
        ) {
            if (kind == ObjectKind.ROLLOUT) watch = onReply
        }

        override fun replaceStatus(
            kind: ObjectKind,
            name: String,
            status: JsonElement,
            revision: Long,
            onReply: (StoreReply<Unit>) -> Unit,
        ) {
            if (revision != order.revision) return onReply(StoreReply.Conflict)
            written.add((status as JsonPrimitive).content)
            order = order.copy(revision = revision + 1, status = status)
            onReply(StoreReply.Success(Unit))
            watch?.also { watch = null }?.invoke(StoreReply.Success(ObjectPage(listOf(order), order.revision, null)))
        }
    }

    private inner class Decoder : ObjectDecoder {
        override fun configuration(stored: StoredObject): Result<GatewayConfig, String> {
            val services = listOf(WeightedService("models", weight = 1))
            val route = Route("r", "h", "/p/", RouteKind.UNSAFE, 9.seconds, 1.seconds, 0, services, isPublic = true)
            val limits = CallLimits(8192, 65_536, 3.seconds, 15.seconds)
            return Ok(GatewayConfig(1, listOf(route), listOf(Service("models")), emptyList(), limits))
        }

        override fun endpoint(stored: StoredObject): Result<Endpoint, String> {
            val address = InetSocketAddress(worker.inetAddress, worker.localPort)
            return Ok(endpoint(stored.name).copy(address = address, startedAtMillis = 1, version = stored.name))
        }
    }

    private companion object {
        const val CONNECTIONS = 50
        const val WAIT_MILLIS = 20_000

        /** Long enough for a coordinator to begin, to test the new version and to move the calls. */
        const val ORDER_SECONDS = 8
    }
}
