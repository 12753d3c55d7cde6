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
import io.jasmineford.gateway.log.EventLog
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
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * An entry daemon whose only endpoint begins to leave while the store answers no more and had listed it as ready.
 * Guards against a daemon that doesn't connect what responses say with what decides on placement.
 */
class LeavingDaemonTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val worker = ServerSocket(0, CONNECTIONS, InetAddress.getLoopbackAddress())
    private val requests = LinkedBlockingQueue<String>()
    private val events = LinkedBlockingQueue<String>()

    @AfterTest
    fun stop() {
        worker.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a daemon without the store sends nothing to an endpoint that said that it is leaving`() {
        thread(isDaemon = true) { while (!worker.isClosed) serve() }
        val callers = InetSocketAddress(InetAddress.getLoopbackAddress(), freePort())
        val node = NodeRuntime(
            settings = settings(callers),
            group = group,
            clock = systemMonotonicClock(),
            wallMillis = { 1 },
            log = EventLog { name, _ -> events += name },
            store = SilentStore(),
            decoder = Decoder(),
        )
        val daemon = EntryDaemon(node, headerNames)
        daemon.open()
        node.loop.submit { daemon.start() }.get()
        assertEquals(200, statusOf(callers, "a0"))
        repeat(3) { assertEquals(503, statusOf(callers, "b$it")) }
        assertEquals(listOf("a0"), requests.toList())
        assertEquals(1, events.count { it == "endpoint-leaving" })
    }

    private fun serve() {
        try {
            worker.accept().use { connection ->
                val reader = connection.getInputStream().bufferedReader()
                val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
                val id = head.firstOrNull { it.startsWith("Attempt", ignoreCase = true) } ?: return
                requests.add(id.substringAfter(':').trim())
                val fields = "Signature: s\r\nLeaving: 1\r\nConnection: close\r\nContent-Length: 0"
                connection.getOutputStream().write("HTTP/1.1 200 OK\r\n$id\r\n$fields\r\n\r\n".toByteArray())
            }
        } catch (_: IOException) {
            // The daemon has closed the connection, or the test has ended.
        }
    }

    private fun statusOf(callers: InetSocketAddress, id: String): Int =
        Socket(callers.address, callers.port).use { socket ->
            socket.soTimeout = WAIT_MILLIS
            val request = "GET /p/ HTTP/1.1\r\nHost: h\r\nAttempt: $id\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write(request.toByteArray())
            socket.getInputStream().bufferedReader().readLine().split(' ')[1].toInt()
        }

    private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

    private fun settings(callers: InetSocketAddress): NodeSettings {
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
        )
    }

    /** Store that answers the first list of each kind and nothing else. */
    private class SilentStore : SilentObjectStore() {
        override fun list(kind: ObjectKind, after: String?, onReply: (StoreReply<ObjectPage>) -> Unit) {
            val name = when (kind) {
                ObjectKind.CONFIGURATION -> "main"
                ObjectKind.ENDPOINT -> "e1"
                else -> null
            }
            val objects = listOfNotNull(name?.let { StoredObject(it, revision = 1, spec = null) })
            onReply(StoreReply.Success(ObjectPage(objects, revision = 1, after = null)))
        }
    }

    private inner class Decoder : ObjectDecoder {
        override fun configuration(stored: StoredObject): Result<GatewayConfig, String> {
            val services = listOf(WeightedService("models", weight = 1))
            val route = Route("r", "h", "/p/", RouteKind.UNSAFE, CALL_TIMEOUT, 1.seconds, 0, services, isPublic = true)
            val limits = CallLimits(8192, 65_536, 3.seconds, 15.seconds)
            return Ok(GatewayConfig(1, listOf(route), listOf(Service("models")), emptyList(), limits))
        }

        override fun endpoint(stored: StoredObject): Result<Endpoint, String> {
            val address = InetSocketAddress(worker.inetAddress, worker.localPort)
            return Ok(endpoint(stored.name).copy(address = address, startedAtMillis = 1))
        }
    }

    private companion object {
        const val CONNECTIONS = 8
        const val WAIT_MILLIS = 20_000

        /** Longer than the test waits, so a call that ends by its deadline fails the test. */
        val CALL_TIMEOUT = 60.seconds
    }
}
