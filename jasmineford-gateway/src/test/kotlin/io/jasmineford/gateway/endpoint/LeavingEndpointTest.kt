package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.call.Dispatcher
import io.jasmineford.gateway.call.LeavingReader
import io.jasmineford.gateway.call.SchedulingAttributes
import io.jasmineford.gateway.call.WaitingCall
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.headerNames
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Endpoints whose responses say that they are leaving. Guards against calls that reach such an endpoint because the
 * store's copy still lists it as ready.
 */
class LeavingEndpointTest {
    private val clock = VirtualClock(1.seconds)
    private val directory = EndpointDirectory(clock)
    private val chooser = EndpointChooser(directory, zone = "a", clock = clock) { RatePart(share = 1.0, rank = 0) }
    private val dispatcher = Dispatcher(chooser, clock)
    private val service = Service("models")
    private val events = ArrayList<String>()
    private val reader = LeavingReader(headerNames, { name, _ -> events += name }, directory::recordLeaving)
    private val e1 = endpoint("e1").copy(startedAtMillis = BORN)
    private val e2 = endpoint("e2", zone = "b").copy(startedAtMillis = BORN)

    private fun state(id: String) = directory.all.single { it.endpoint.id == id }

    private fun respond(state: EndpointState, status: Int = 200, leaving: String? = "1", responder: String? = null) {
        val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        leaving?.let { head.headers()[headerNames.leaving] = it }
        responder?.let { head.headers()[headerNames.endpointId] = it }
        reader.read(state, head)
    }

    private fun choose(version: String? = null, tried: Set<String> = emptySet()) =
        chooser.choose(PlacementRequest(service, affinity = null, tried = tried, version = version))?.endpoint?.id

    private class Outcome {
        var placed: EndpointState? = null
        var retryAfter: Duration? = null
    }

    private fun submit(placement: PlacementRequest = PlacementRequest(service, affinity = null)): Outcome {
        val outcome = Outcome()
        val now = clock.now()
        val scheduling = SchedulingAttributes(0, latestStart = now, expiresAt = now + 60.seconds, arrivedAt = now)
        dispatcher.submit(WaitingCall(scheduling, placement, { outcome.placed = it }, { outcome.retryAfter = it }))
        return outcome
    }

    @Test
    fun `new calls, retries and streams that go on reach another endpoint at once`() {
        directory.replace(listOf(e1.copy(version = "v1"), e2.copy(version = "v1")))
        assertEquals("e1", choose())
        respond(state("e1"))
        repeat(3) { assertEquals("e2", choose()) }
        assertEquals("e2", choose(tried = setOf("e2")))
        assertEquals("e2", choose(version = "v1"))
        assertFalse(directory.isUsable(state("e1")))
    }

    @Test
    fun `an endpoint stays left out however long the store lists it as ready`() {
        directory.replace(listOf(e1, e2))
        respond(state("e1"))
        repeat(300) {
            clock.advance(1.seconds)
            directory.replace(listOf(e1.copy(slots = 4 + it), e2))
            assertEquals("e2", choose())
        }
    }

    /** A registration may lapse during an outage of the store and be renewed by the endpoint, which still leaves. */
    @Test
    fun `an endpoint whose registration lapses and comes back is still left out`() {
        directory.replace(listOf(e1, e2))
        val before = state("e1")
        respond(before)
        directory.replace(listOf(e2))
        directory.replace(listOf(e1, e2))
        assertFalse(directory.isUsable(before))
        assertFalse(directory.isUsable(state("e1")))
        assertEquals("e2", choose())
    }

    @Test
    fun `a response counts for the registration that came back while its call was in flight`() {
        directory.replace(listOf(e1, e2))
        val before = state("e1")
        directory.replace(listOf(e2))
        directory.replace(listOf(e1, e2))
        respond(before)
        assertEquals("e2", choose())
    }

    @Test
    fun `another process under the same id or at the same address gets calls`() {
        directory.replace(listOf(e1))
        respond(state("e1"))
        directory.replace(listOf(e1.copy(startedAtMillis = BORN + 1)))
        assertEquals("e1", choose())
        directory.replace(listOf(e2.copy(address = e1.address)))
        assertEquals("e2", choose())
    }

    @Test
    fun `a registration without the time of the start is told apart by its address`() {
        val unknown = e1.copy(startedAtMillis = 0)
        directory.replace(listOf(e1))
        respond(state("e1"))
        directory.replace(listOf(unknown))
        assertNull(choose())
        directory.replace(listOf(unknown.copy(address = InetSocketAddress("127.0.0.1", 9))))
        assertEquals("e1", choose())
    }

    @Test
    fun `calls are refused at once when the last endpoint leaves, those that wait too`() {
        directory.replace(listOf(e1.copy(slots = 1), e2.copy(isDraining = true)))
        val running = submit()
        val waiting = submit()
        assertEquals("e1", running.placed?.endpoint?.id)
        assertNull(waiting.retryAfter)
        respond(state("e1"))
        dispatcher.assignWaiting()
        assertTrue(waiting.retryAfter.let { it != null && it > Duration.ZERO })
        assertNull(waiting.placed)
        val next = submit()
        assertTrue(next.retryAfter.let { it != null && it > Duration.ZERO })
        assertEquals(1, state("e1").inFlight)
        assertEquals(0, dispatcher.waiting)
    }

    @Test
    fun `a call that waits goes to an endpoint that takes the place of the one that leaves`() {
        directory.replace(listOf(e1.copy(slots = 1), e2.copy(slots = 1)))
        submit()
        submit()
        val waiting = submit()
        respond(state("e1"))
        state("e1").inFlight = 0
        dispatcher.assignWaiting()
        assertNull(waiting.placed)
        directory.replace(listOf(e1, e2.copy(slots = 1), endpoint("e3").copy(startedAtMillis = BORN)))
        dispatcher.assignWaiting()
        assertEquals("e3", waiting.placed?.endpoint?.id)
    }

    @Test
    fun `a call that waits is not placed at an endpoint that drains or is removed meanwhile`() {
        directory.replace(listOf(e1.copy(slots = 1), e2.copy(slots = 1)))
        repeat(2) { submit() }
        val waiting = submit()
        directory.replace(listOf(e1.copy(slots = 4, isDraining = true), e2.copy(slots = 1)))
        dispatcher.assignWaiting()
        directory.replace(listOf(e2.copy(slots = 1)))
        dispatcher.assignWaiting()
        assertNull(waiting.placed)
        state("e2").inFlight = 0
        dispatcher.assignWaiting()
        assertEquals("e2", waiting.placed?.endpoint?.id)
    }

    @Test
    fun `a stream whose version is left at a leaving endpoint only is refused at once`() {
        directory.replace(listOf(e1.copy(version = "v1"), e2.copy(version = "v2")))
        respond(state("e1"))
        val outcome = submit(PlacementRequest(service, affinity = null, version = "v1"))
        assertEquals(Duration.ZERO, outcome.retryAfter)
        assertNull(outcome.placed)
    }

    @Test
    fun `responses of every status count and the first one is logged`() {
        listOf(200, 404, 429, 500, 503).forEachIndexed { index, status ->
            directory.replace(listOf(endpoint("i$index")))
            repeat(3) { respond(directory.all.single(), status) }
            assertNull(choose(), "status $status")
        }
        assertEquals(List(5) { "endpoint-leaving" }, events)
    }

    @Test
    fun `other values of the header do not count`() {
        directory.replace(listOf(e1))
        listOf(null, "", "0", "true", "11", "-1", "1".repeat(5000)).forEach { respond(state("e1"), leaving = it) }
        assertEquals("e1", choose())
        assertEquals(emptyList(), events)
        respond(state("e1"), leaving = "1")
        assertNull(choose())
    }

    /** Addresses are used again, so another process may reject the call; it may be leaving itself. */
    @Test
    fun `a response of another process at the address does not count`() {
        directory.replace(listOf(e1))
        respond(state("e1"), status = 421)
        respond(state("e1"), status = 421, responder = "e2")
        respond(state("e1"), status = 200, responder = "e2")
        assertEquals("e1", choose())
        respond(state("e1"), status = 421, responder = "e1")
        assertNull(choose())
    }

    @Test
    fun `the endpoints that are remembered are bounded`() {
        directory.replace(listOf(e1))
        respond(state("e1"))
        repeat(5000) { index -> EndpointState(endpoint("i$index"), clock).let { directory.recordLeaving(it) } }
        assertNull(choose())
        directory.replace(emptyList())
        directory.replace(listOf(e1))
        assertEquals("e1", choose())
    }

    private companion object {
        const val BORN = 1_700_000_000_000
    }
}
