package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.cost.CallHints
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.cost.WorkPlacement
import io.jasmineford.gateway.cost.WorkPlacementSettings
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.RelaySelection
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EndpointChooserTest {
    private val clock = VirtualClock()
    private val directory = EndpointDirectory(clock)
    private val chooser = EndpointChooser(directory, zone = "a", clock = clock) { RatePart(share = 1.0 / 6, rank = 0) }
    private val service = Service("models", coldRate = 52.0)

    private fun choose(affinity: String? = null, tried: Set<String> = emptySet()) =
        chooser.choose(PlacementRequest(service, affinity, tried))

    @Test
    fun `draining endpoints and those in evacuated zones get no calls`() {
        directory.replace(
            listOf(
                endpoint("e1", zone = "a"),
                endpoint("e2", zone = "b"),
                endpoint("e3", zone = "c", isDraining = true)
            )
        )
        directory.evacuate(setOf("a"))
        repeat(3) { assertEquals("e2", choose()?.endpoint?.id) }
        directory.evacuate(setOf("a", "b"))
        assertNull(choose())
    }

    @Test
    fun `an endpoint whose slots are in use by all daemons together gets no more calls`() {
        directory.replace(listOf(endpoint("e1", slots = 4)))
        val state = assertNotNull(choose())
        state.inFlight = 2
        state.inFlightAtPeers = 2
        assertNull(choose())
    }

    /** Guards against an endpoint that crashes because the calls in flight take more than its memory. */
    @Test
    fun `an endpoint gets no more than its memory holds although calls are only counted`() {
        val byWork = WorkPlacement(clock, directory, WorkPlacementSettings())
        val observer = CallObserver(clock, byWork)
        val counting = EndpointChooser(directory, "a", clock, byWork) { RatePart(share = 1.0, rank = 0) }
        val engine = Service("models", tokensPerEvent = 8, memoryTokens = 10_000)
        directory.replace(listOf(endpoint("e1", slots = 100), endpoint("e2", slots = 100)))
        val work = observer.work("chat", engine, CallHints(promptTokens = 3000, maxTokens = 64, expectedTokens = 32))
        val request = PlacementRequest(engine, affinity = null, work = work)
        val running = generateSequence { counting.choose(request) }.take(100)
            .map { observer.begin(it, work, isWhole = true) }.toList()
        // Three calls of 3,032 tokens fit into each endpoint.
        assertEquals(6, running.size)
        running.first().ended()
        assertNotNull(counting.choose(request))
    }

    @Test
    fun `an endpoint that was tried before is chosen only when there is no other`() {
        directory.replace(listOf(endpoint("e1"), endpoint("e2", zone = "b")))
        assertEquals("e2", choose(tried = setOf("e1"))?.endpoint?.id)
        directory.replace(listOf(endpoint("e1")))
        assertEquals("e1", choose(tried = setOf("e1"))?.endpoint?.id)
    }

    @Test
    fun `an endpoint is avoided after a failure and used again after the back-off`() {
        directory.replace(listOf(endpoint("e1"), endpoint("e2", zone = "b")))
        directory.all.first { it.endpoint.id == "e1" }.recordFailure()
        assertEquals("e2", choose()?.endpoint?.id)
        clock.advance(1.seconds)
        assertEquals("e1", choose()?.endpoint?.id)
    }

    @Test
    fun `six daemons together respect the cold rate of an endpoint that is warming up`() {
        directory.replace(listOf(endpoint("e1", slots = 100, coldForMillis = 3000)))
        var sent = 0
        repeat(1000) {
            clock.advance(1.seconds / 1000)
            if (choose() != null) sent++
        }
        assertEquals(true, sent * 6 <= 52 * 1.5 + 5, "sent $sent")
        clock.advance(4.seconds)
        repeat(50) { assertNotNull(choose()) }
    }

    @Test
    fun `any number of daemons together respect the cold rate of an endpoint that is warming up`() {
        listOf(6, 40, 83, 300).forEach { size ->
            val clock = VirtualClock()
            val members = List(size) {
                Member("edge-$it", 1, "zone-${it % 5}", "r", isEntry = true, ip = "", peerPort = 1)
            }
            val choosers = members.map { self ->
                val directory = EndpointDirectory(clock)
                directory.replace(listOf(endpoint("e1", slots = 1000, coldForMillis = 3000)))
                val selection = RelaySelection(self, clock).apply { replaceEntries(members) }
                EndpointChooser(directory, zone = "a", clock = clock) { RatePart(1.0 / size, selection.rankFor(it.id)) }
            }
            val request = PlacementRequest(Service("models", coldRate = 27.0), affinity = null)
            val sent = List(COLD_STEPS) {
                clock.advance(1.seconds / COLD_STEPS_PER_SECOND)
                choosers.sumOf { chooser -> generateSequence { chooser.choose(request) }.count() }
            }
            assertTrue(sent.take(COLD_STEPS_PER_SECOND / 5).sum() > 0, "size=$size: none in 0.2 s")
            val most = sent.windowed(COLD_STEPS_PER_SECOND) { it.sum() }.max()
            assertTrue(most <= 27.0 * 1.5 + 5, "size=$size sent $most in a second")
        }
    }

    @Test
    fun `all daemons prefer the same endpoint for a program`() {
        directory.replace(List(6) { endpoint("e$it") })
        val other = EndpointChooser(directory, zone = "a", clock = clock) { RatePart(share = 1.0 / 6, rank = 0) }
        repeat(20) { index ->
            val request = PlacementRequest(service, affinity = "program-$index")
            assertEquals(other.choose(request)?.endpoint?.id, chooser.choose(request)?.endpoint?.id)
        }
    }

    @Test
    fun `slow endpoints get fewer calls while they are slow and their share afterwards`() {
        directory.replace(List(6) { endpoint("e$it") })
        val latencyBaseline = RouteLatencyBaseline()
        val placed = HashMap<String, Int>()

        fun simulate(slowFactor: Int) {
            placed.clear()
            repeat(300) { index ->
                clock.advance(0.02.seconds)
                val state = assertNotNull(choose(affinity = "program-$index"))
                val name = state.endpoint.id
                placed.merge(name, 1, Int::plus)
                val isSlow = name == "e0" || name == "e1"
                state.recordSuccess(latencyBaseline.relative("drafts", 0.02.seconds * (if (isSlow) slowFactor else 1)))
            }
        }

        simulate(slowFactor = 1)
        val usual = placed.getValue("e0") + placed.getValue("e1")
        simulate(slowFactor = 6)
        val slow = (placed["e0"] ?: 0) + (placed["e1"] ?: 0)
        assertTrue(slow * 3 < usual, "usually $usual, while slow $slow")
        simulate(slowFactor = 1)
        simulate(slowFactor = 1)
        val after = (placed["e0"] ?: 0) + (placed["e1"] ?: 0)
        assertTrue(after * 2 > usual, "usually $usual, afterwards $after")
    }

    @Test
    fun `an endpoint that fails half of its calls gets few calls while others have capacity`() {
        directory.replace(List(3) { endpoint("e$it") })
        var failed = 0
        repeat(300) { index ->
            clock.advance(0.02.seconds)
            val state = assertNotNull(choose(affinity = "program-$index"))
            if (state.endpoint.id == "e1" && index % 2 == 0) {
                failed++
                state.recordFailure()
            } else {
                state.recordSuccess(relativeTime = 1.0)
            }
        }
        assertTrue(failed < 15, "failed $failed of 300 calls")
    }

    private companion object {
        const val COLD_STEPS_PER_SECOND = 50
        const val COLD_STEPS = 140
    }
}
