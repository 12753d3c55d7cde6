package io.jasmineford.gateway.call

import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class EndpointSenderTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = systemMonotonicClock()
    private val names = headerNames

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    @Test
    fun `a success with a signature is passed on`() {
        val answer = "HTTP/1.1 200 OK\r\n$ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello"
        assertEquals("end 200 hello", outcomeOf(answer))
    }

    @Test
    fun `a success without a signature counts as broken`() {
        val outcome = outcomeOf("HTTP/1.1 200 OK\r\n$ID\r\nContent-Length: 5\r\n\r\nhello")
        assertEquals("broken success without a signature", outcome)
    }

    @Test
    fun `a failure needs no signature`() {
        assertEquals("end 500 ", outcomeOf("HTTP/1.1 500 Oh\r\n$ID\r\nContent-Length: 0\r\n\r\n"))
    }

    @Test
    fun `a truncated response head counts as broken`() {
        assertEquals("broken", outcomeOf("HTTP/1.1 200 OK\r\nSignat").substringBefore(' '))
    }

    @Test
    fun `a response with the not-executed header reports that the call did not run`() {
        val answer = "HTTP/1.1 503 Full\r\n$ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        assertEquals("not executed 503", outcomeOf(answer))
    }

    /** Guards against bytes after a response, in the form of one, that reach the caller of the next call. */
    @Test
    fun `a response without the id of the call belongs to no call`() {
        val foreign = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother"
        val own = "HTTP/1.1 200 OK\r\n$ID\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello"
        assertEquals("end 200 hello", outcomeOf(foreign + own))
        assertEquals("broken connection closed", outcomeOf(foreign))
    }

    @Test
    fun `a refusal without the id of the call does not tell that the call did not run`() {
        val refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        assertEquals("broken connection closed", outcomeOf(refusal))
    }

    /** Outcome of a call to an endpoint that sends [bytes] and closes the connection. */
    private fun outcomeOf(bytes: String): String = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
        thread {
            server.accept().use { socket ->
                val reader = socket.getInputStream().bufferedReader()
                while (reader.readLine().isNotEmpty()) Unit
                socket.getOutputStream().write(bytes.toByteArray())
            }
        }
        val address = InetSocketAddress(InetAddress.getLoopbackAddress(), server.localPort)
        val outcomes = LinkedBlockingQueue<String>()
        val state = EndpointState(endpoint("e1").copy(address = address), clock)
        val sender = EndpointSender(group, clock, names) { true }
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        group.next().execute {
            sender.send(EndpointAttempt(state, Recorder(outcomes)), call(), headers, Unpooled.EMPTY_BUFFER)
        }
        checkNotNull(outcomes.poll(10, TimeUnit.SECONDS)) { "no outcome" }
    }

    private fun call(): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", "a1")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", RouteKind.SAFE, 1.seconds, 1.seconds, 0, emptyList())
        val service = Service("models")
        return AdmittedCall(request, checkNotNull(names.read(request)), route, null, service, "f", clock.now(), 0)
    }

    private class Recorder(private val outcomes: LinkedBlockingQueue<String>) : AttemptHandler {
        private var status = 0
        private val body = StringBuilder()

        override fun notSent(reason: String) {
            outcomes.add("not sent")
        }

        override fun notExecuted(status: Int) {
            outcomes.add("not executed $status")
        }

        override fun head(head: ResponseHead) {
            status = head.status
        }

        override fun data(data: ByteBuf) {
            body.append(data.toString(Charsets.UTF_8))
        }

        override fun end(took: Duration) {
            outcomes.add("end $status $body")
        }

        override fun broken(reason: String) {
            outcomes.add("broken $reason")
        }

        override fun abandoned(reason: String) {
            outcomes.add("abandoned $reason")
        }
    }

    private companion object {
        /** Header that endpoints echo. */
        const val ID = "Attempt: a1"
    }
}
