package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.endpoint.RatePart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Placement by version. Guards against calls to a version that may be bad or stopped, and against lost streams. */
class VersionGateTest {
    private val clock = VirtualClock()
    private val directory = EndpointDirectory(clock)
    private val gate = VersionGate(clock, RolloutBounds(0.1, 50.0, 5.seconds))
    private val chooser =
        EndpointChooser(directory, "a", clock, versions = gate, partOf = { RatePart(share = 1.0, rank = 0) })
    private val tracker = OrderTracker(clock, gate) { _, _ -> }
    private val rollout get() = gate.rollouts.getValue("models")

    private fun register(vararg versions: String) = directory.replace(
        versions.flatMap { version -> List(3) { endpoint("$version-$it", slots = 1000).copy(version = version) } }
    )

    private fun order(to: String = "v2", status: RolloutStatus? = null, revision: Long = 1) =
        tracker.apply(listOf(StoredOrder(revision, RolloutOrder("models", to, 30.seconds, status))))

    private fun confirm(phase: RolloutPhase, age: Duration = Duration.ZERO) {
        rollout.advance(phase, clock.now())
        rollout.confirm(clock.now() - age)
    }

    /** Versions of the endpoints that get 400 calls, with their numbers. */
    private fun placed(version: String? = null): Map<String, Int> = List(400) {
        chooser.choose(PlacementRequest(Service("models"), null, version = version, route = "r", callKey = "call-$it"))
    }.mapNotNull { it?.endpoint?.version }.groupingBy { it }.eachCount()

    @Test
    fun `the canary gets its share of the calls, and none once the information is old`() {
        register("v1", "v2")
        order()
        assertEquals(mapOf("v1" to 400), placed())
        confirm(RolloutPhase.CANARY)
        // The share counts all 800 calls since the order.
        val share = placed().getValue("v2")
        assertTrue(share in 27..32, "$share calls")
        clock.advance(2.seconds)
        assertEquals(mapOf("v1" to 400), placed())
    }

    @Test
    fun `all calls move in the later phases and stay at the new version once the old one may stop`() {
        register("v1", "v2")
        order()
        confirm(RolloutPhase.DRAIN)
        assertEquals(mapOf("v2" to 400), placed())
        clock.advance(2.seconds)
        assertEquals(mapOf("v1" to 400), placed())
        confirm(RolloutPhase.CLOSED)
        clock.advance(10.seconds)
        assertEquals(mapOf("v2" to 400), placed())
    }

    @Test
    fun `streams go on at their version until it may stop`() {
        register("v1", "v2")
        order()
        confirm(RolloutPhase.DRAIN)
        listOf("v1", "v2").forEach { assertEquals(mapOf(it to 400), placed(version = it)) }
        confirm(RolloutPhase.CLOSED)
        assertEquals(emptyMap(), placed(version = "v1"))
        assertEquals(mapOf("v2" to 400), placed(version = "v2"))
    }

    @Test
    fun `after a rollback streams go on at the new version for a part of the rollback time`() {
        register("v1", "v2")
        order()
        confirm(RolloutPhase.ROLLBACK)
        assertEquals(mapOf("v1" to 400), placed())
        assertEquals(mapOf("v2" to 400), placed(version = "v2"))
        clock.advance(2100.milliseconds)
        assertEquals(emptyMap(), placed(version = "v2"))
    }

    @Test
    fun `the state in the store overrides what heartbeats said`() {
        register("v1", "v2")
        order(status = RolloutStatus(RolloutOutcome.COMPLETED, "v2"))
        confirm(RolloutPhase.ROLLBACK)
        assertEquals(mapOf("v2" to 400), placed())
        order(to = "v1", revision = 5)
        confirm(RolloutPhase.CLOSED)
        order(to = "v1", status = RolloutStatus(RolloutOutcome.ROLLED_BACK, "v1"), revision = 6)
        assertEquals(mapOf("v2" to 400), placed())
    }

    @Test
    fun `a version that was not completed gets no calls under the next order`() {
        register("v1", "v2", "v3")
        order(to = "v2")
        order(to = "v3", revision = 2)
        assertEquals(mapOf("v1" to 400), placed())
        register("v2", "v3")
        assertEquals(mapOf("v2" to 400), placed())
        register("v3")
        assertEquals(mapOf("v3" to 400), placed())
    }

    @Test
    fun `a state of an earlier order of the same version is ignored`() {
        order(revision = 5)
        val earlier = RolloutState("models", "v2", opened = 3, phase = RolloutPhase.CLOSED, elapsedMillis = 9000)
        assertEquals(false, rollout.merge(earlier, clock.now(), clock.now()))
        assertEquals(RolloutPhase.CANARY, rollout.phase)
        // A daemon that reads the running status first takes over the revision of those that saw the order begin.
        order(to = "v3", status = RolloutStatus(RolloutOutcome.RUNNING, "v3"), revision = 9)
        assertEquals(true, rollout.merge(earlier.copy(to = "v3", opened = 8), clock.now(), clock.now()))
        assertEquals(8, rollout.opened)
    }
}
