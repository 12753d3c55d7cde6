package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.cost.CallHints
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.endpoint
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against remaining work that is lost or counted twice on its way through relays, and against its traffic. */
class WorkReportsTest {
    private val engine = Service("models", tokensPerEvent = 8, memoryTokens = 100_000)

    private fun fleet(size: Int, byWork: Boolean, checksMemory: Boolean = false): VirtualFleet {
        val fleet = VirtualFleet(size, placesByWork = byWork)
        val endpoints = List(20) { endpoint("server-$it", slots = 1000) }
        fleet.daemons.forEach { daemon ->
            daemon.state.directory.replace(endpoints)
            val observer = CallObserver(fleet.clock, daemon.state.placement)
            daemon.state.directory.all.forEach { state ->
                val work = observer.work("chat", engine, CallHints(1280, 64, 20))
                state.inFlight = 1
                if (checksMemory) assertTrue(daemon.state.placement.fits(state, work))
                observer.begin(state, work, isWhole = true).event()
            }
        }
        fleet.run(3.seconds)
        return fleet
    }

    @Test
    fun `every daemon sees the remaining work and the memory of all others once`() {
        listOf(8, 40).forEach { size ->
            val states = fleet(size, byWork = true).daemons.map { it.state.directory.byId.getValue("server-7") }
            val own = states.first().work
            states.forEach {
                // Each report is a whole number of milliseconds and of blocks.
                val expected = own.ownMillis() * (size - 1)
                val told = it.work.millisAtPeers
                assertTrue(told in expected - size..expected, "$size: $told of $expected")
                assertEquals((own.ownTokens() + 63) / 64 * 64 * (size - 1), it.work.tokensAtPeers)
            }
        }
    }

    /** Guards against daemons that together exceed the memory of endpoints, as each knows its own calls only. */
    @Test
    fun `the memory of all others is known where calls are counted but endpoints state their memory`() {
        listOf(8, 40).forEach { size ->
            val states = fleet(size, byWork = false, checksMemory = true).daemons
                .map { it.state.directory.byId.getValue("server-7") }
            val own = states.first().work
            states.forEach { assertEquals((own.ownTokens() + 63) / 64 * 64 * (size - 1), it.work.tokensAtPeers) }
        }
    }

    @Test
    fun `the work adds a third to busy heartbeats at most, and nothing where it is not used`() {
        val (unused, used) = listOf(false, true).map { byWork ->
            val fleet = fleet(40, byWork)
            fleet.resetCounts()
            fleet.run(2.seconds)
            fleet.sentBytes.values.sum() / 40 / 2
        }
        println("bytes a daemon and second with 20 endpoints in use: $unused, with work $used")
        assertTrue(used < unused * 4 / 3, "$unused bytes, with work $used")
        val told = fleet(3, byWork = false).daemons.first().table.all.first().heartbeat!!
        assertTrue(told.inFlight.isNotEmpty() && told.workMillis.isEmpty() && told.workBlocks.isEmpty())
    }
}
