package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.endpoint.SendingDaemons
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Rates at an endpoint that all daemons share. Guards against an endpoint that gets more calls than it takes. */
class EndpointRateTest {
    @Test
    fun `daemons together do not exceed the rate that an endpoint names`() {
        SIZES.forEach { size ->
            RATES.forEach { rate ->
                val load = Load(size, rate, evenDemand(size))
                load.run(20.seconds)
                load.assertWithin(since = 3.seconds, "size=$size rate=$rate")
            }
        }
    }

    private fun evenDemand(size: Int): (Int) -> Double = { 300.0 / size }

    /**
     * Calls to one endpoint that names [rate] in every response.
     *
     * @param demand calls per second of each daemon, all of which would go to the endpoint.
     */
    private class Load(size: Int, private val rate: Double, private val demand: (Int) -> Double) {
        private val fleet = VirtualFleet(size, random = Random(SEED))
        private val random = Random(SEED)
        private val request = PlacementRequest(Service("models"), affinity = null)
        private val choosers = fleet.daemons.map { daemon ->
            val selection = daemon.exchange.selection
            daemon.state.directory.replace(listOf(endpoint("e1", slots = 1000)))
            val daemons = SendingDaemons({ selection.entryCount }, selection::rankFor)
            EndpointChooser(daemon.state.directory, daemon.member.zone, fleet.clock, daemons)
        }
        val sent = ArrayList<Duration>()

        fun run(time: Duration) = fleet.runEvery(STEP, time) {
            choosers.forEachIndexed { index, chooser ->
                if (random.nextDouble() < demand(index) * STEP.inWholeMilliseconds / MILLIS) call(chooser)
            }
        }

        private fun call(chooser: EndpointChooser) {
            val state = chooser.choose(request) ?: return
            sent += fleet.clock.now()
            state.namedRate.record(rate)
        }

        /** Asserts that no window from [since] on has more calls than half as many again as the rate allows, and 5. */
        fun assertWithin(since: Duration, case: String) {
            val counted = sent.filter { it >= since }
            val most = counted.maxOfOrNull { start -> counted.count { it >= start && it - start < WINDOW } } ?: 0
            val allowed = rate * 4 * 1.5 + 5
            assertTrue(most <= allowed, "$case: $most calls in $WINDOW, allowed $allowed")
        }
    }

    private companion object {
        const val SEED = 26
        const val MILLIS = 1000.0
        val SIZES = listOf(2, 6, 40, 83, 300)
        val RATES = listOf(0.5, 7.8, 52.0)
        val STEP = 5.milliseconds
        val WINDOW = 4.seconds
    }
}
