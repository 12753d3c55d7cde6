package io.jasmineford.gateway.cost

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.endpoint.RatePart
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards the inputs of the placement by work and the conditions under which it is used. */
class CallCostTest {
    private val clock = VirtualClock()
    private val directory = EndpointDirectory(clock)
    private val engine = Service("models", tokensPerEvent = 8, memoryTokens = 5000)
    private val parts = listOf(PromptPart(0xa1, 600), PromptPart(0xb2, 300))

    private fun placement(isAlwaysOn: Boolean) = WorkPlacement(clock, directory, WorkPlacementSettings(isAlwaysOn))

    private fun chooser(placement: WorkPlacement) =
        EndpointChooser(directory, "a", clock, placement) { RatePart(1.0, 0) }

    @Test
    fun `hints that can't be read are taken as absent and never fail a call`() {
        assertEquals(CallHints(900, 64, 20, parts), callHintsOf("900,64", " 20", "a1:600,b2:300"))
        assertEquals(CallHints(), callHintsOf(null, null, null))
        assertEquals(CallHints(parts = parts.take(1)), callHintsOf("x,-1", "99999999999", "a1:600,b2,c3:1"))
        assertEquals(1, callHintsOf(null, null, "${"f".repeat(40)}:7").parts.size)
    }

    @Test
    fun `a call goes where its prompt is cached, and to another endpoint when that one has much work left`() {
        directory.replace(listOf(endpoint("e1"), endpoint("e2")))
        val placement = placement(isAlwaysOn = true)
        val observer = CallObserver(clock, placement)
        val work = observer.work("chat", engine, CallHints(900, 64, 20, parts))
        val request = PlacementRequest(engine, affinity = null, work = work)
        observer.begin(directory.byId.getValue("e2"), work, isWhole = true).event()
        assertEquals("e2", chooser(placement).choose(request)?.endpoint?.id)
        directory.byId.getValue("e2").work.setPeers(millis = 4000.0, tokens = 0)
        assertEquals("e1", chooser(placement).choose(request)?.endpoint?.id)
    }

    @Test
    fun `a call waits while no endpoint has memory for it, and a call that fits none goes to an empty one`() {
        directory.replace(listOf(endpoint("e1")))
        val placement = placement(isAlwaysOn = true)
        fun choose(prompt: Int): EndpointState? {
            val work = placement.estimator.work("chat", engine, CallHints(prompt, 64, 20))
            return chooser(placement).choose(PlacementRequest(engine, affinity = null, work = work))
        }
        assertEquals("e1", choose(6000)?.endpoint?.id)
        directory.byId.getValue("e1").work.setPeers(millis = 10.0, tokens = 4000)
        assertNull(choose(2000))
        assertEquals("e1", choose(900)?.endpoint?.id)
    }

    @Test
    fun `an estimate of a call that failed before its first event leaves no work and no cached prompt`() {
        directory.replace(listOf(endpoint("e1")))
        val observer = CallObserver(clock, placement(isAlwaysOn = true))
        val state = directory.byId.getValue("e1")
        val work = observer.work("chat", engine, CallHints(900, 64, 20, parts))
        val progress = observer.begin(state, work, isWhole = true)
        assertTrue(state.work.remainingMillis > 0 && state.work.tokens > 0)
        progress.ended()
        assertEquals(0.0 to 0L, state.work.remainingMillis to state.work.tokens)
        assertEquals(0, state.work.cache.cachedTokens(parts))
    }

    @Test
    fun `learned speeds switch placement by work on only where endpoints differ clearly`() {
        assertTrue(isOnAfterCalls(speeds = listOf(0.7, 1.0, 1.7), variation = 1.0))
        assertFalse(isOnAfterCalls(speeds = listOf(1.0, 1.0, 1.0), variation = 3.0))
        assertFalse(isOnAfterCalls(speeds = listOf(0.7, 1.0, 1.7), variation = 1.0, calls = 15))
    }

    /** Whether calls are placed by work after [calls] at each endpoint, whose times vary by up to [variation]. */
    private fun isOnAfterCalls(speeds: List<Double>, variation: Double, calls: Int = 60): Boolean {
        directory.replace(emptyList())
        directory.replace(speeds.indices.map { endpoint("e$it") })
        val random = Random(1)
        val placement = placement(isAlwaysOn = false)
        val observer = CallObserver(clock, placement)
        val plain = Service("models")
        repeat(calls) {
            speeds.forEachIndexed { index, speed ->
                val took = (40 / speed * (1 + random.nextDouble() * (variation - 1))).milliseconds
                val work = observer.work("lookup", plain, CallHints())
                val progress = observer.begin(directory.byId.getValue("e$index"), work, isWhole = true)
                progress.succeeded(took)
                progress.ended()
            }
            clock.advance(0.1.seconds)
        }
        return placement.isOn("models")
    }
}
