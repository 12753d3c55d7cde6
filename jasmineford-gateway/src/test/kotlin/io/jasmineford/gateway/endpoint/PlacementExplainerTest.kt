package io.jasmineford.gateway.endpoint

import io.jasmineford.core.placement.PlacementOutcome
import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.cost.CallHints
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.cost.WorkPlacement
import io.jasmineford.gateway.cost.WorkPlacementSettings
import io.jasmineford.gateway.endpoint
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

/** Guards against explanations that differ from what is done, and against those that influence it. */
class PlacementExplainerTest {
    private val clock = VirtualClock()
    private val directory = EndpointDirectory(clock)
    private val service = Service("models", coldRate = 30.0, tokensPerEvent = 8, memoryTokens = 4000)

    /** Endpoints chosen for a random sequence of calls; with [asks], each choice is compared with its explanation. */
    private fun placements(seed: Int, isByWork: Boolean, asks: Boolean): List<String?> {
        val random = Random(seed)
        val clock = VirtualClock()
        val directory = EndpointDirectory(clock)
        val byWork = WorkPlacement(clock, directory, WorkPlacementSettings(isByWork))
        val observer = CallObserver(clock, byWork)
        val chooser = EndpointChooser(directory, "a", clock, byWork) { RatePart(share = 0.5, rank = 1) }
        directory.replace(List(6) { endpoint("e$it", "ab"[it % 2].toString(), 4, it == 5, coldForMillis = 400L * it) })
        val running = ArrayDeque<Pair<EndpointState, CallObserver.CallProgress>>()
        return List(400) {
            clock.advance(random.nextInt(20).milliseconds)
            if (random.nextInt(3) > 0) {
                running.removeFirstOrNull()?.let { (state, progress) ->
                    progress.ended()
                    state.inFlight--
                    if (random.nextInt(4) == 0) state.recordFailure() else state.recordSuccess(random.nextDouble(3.0))
                }
            }
            val work = observer.work("chat", service, CallHints(random.nextInt(1500), maxTokens = 64, 32))
            val request = PlacementRequest(service, "program ${random.nextInt(5)}", work = work, route = "chat")
            val told = if (asks) PlacementExplainer(chooser).explain(request) else null
            val chosen = chooser.choose(request)
            if (told != null) assertEquals(chosen?.endpoint?.id, told.endpoint, "seed=$seed call=$it $told")
            chosen?.let { state ->
                state.inFlight++
                running.addLast(state to observer.begin(state, work, isWhole = true))
            }
            chosen?.endpoint?.id
        }
    }

    @Test
    fun `the explanation names the endpoint that is chosen then, and does not influence it`() {
        for (seed in 1..8) {
            for (isByWork in listOf(false, true)) {
                val chosen = placements(seed, isByWork, asks = true)
                assertEquals(placements(seed, isByWork, asks = false), chosen, "seed=$seed")
                assertEquals(true, chosen.any { it == null } && chosen.distinct().size > 5, "seed=$seed: $chosen")
            }
        }
    }

    @Test
    fun `each endpoint that can't be used has its reason`() {
        val chooser = EndpointChooser(directory, "a", clock, WorkPlacement(clock, directory, WorkPlacementSettings())) {
            RatePart(share = 1.0, rank = 0)
        }
        directory.replace(
            listOf(endpoint("draining", isDraining = true), endpoint("evacuated", zone = "b"), endpoint("failed")) +
                listOf("leaving", "full", "free").map { endpoint(it) },
        )
        directory.evacuate(setOf("b"))
        directory.recordLeaving(directory.byId.getValue("leaving"))
        directory.byId.getValue("failed").recordFailure()
        directory.byId.getValue("full").inFlightAtPeers = 4
        val report = PlacementExplainer(chooser).explain(PlacementRequest(service, affinity = null))
        val expected = mapOf(
            "free" to null,
            "draining" to "draining",
            "evacuated" to "zone evacuated",
            "failed" to "backing off for 100 ms after failures, others are preferred",
            "full" to "all slots in use",
            "leaving" to "leaving",
        )
        assertEquals(expected, report.endpoints.associate { it.id to it.obstacle })
        assertEquals(PlacementOutcome.PLACED to "free", report.outcome to report.endpoint)
    }
}
