package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.PlacementRequest
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
                val load = Load(size, rate) { 300.0 / size }
                load.run(20.seconds)
                load.assertWithin(since = 3.seconds, "size=$size rate=$rate")
            }
        }
    }

    @Test
    fun `an endpoint gets most of its rate when a tenth of the daemons have all calls`() {
        SIZES.forEach { size ->
            val busy = (size + 9) / 10
            val load = Load(size, rate = 10.0) { if (it < busy) 100.0 / busy else 0.0 }
            load.run(20.seconds)
            load.assertWithin(since = 3.seconds, "size=$size")
            val used = load.sent.count { it >= 4.seconds } / 16.0
            assertTrue(used >= 5.0, "size=$size: $used calls per second of 10")
        }
    }

    @Test
    fun `the rate holds while calls move from some daemons to others`() {
        SIZES.forEach { size ->
            val load = Load(size, rate = 10.0) { index ->
                val isEvenTurn = now < 8.seconds || now > 14.seconds
                if ((index % 2 == 0) == isEvenTurn) 300.0 / size else 0.0
            }
            load.run(20.seconds)
            load.assertWithin(since = 3.seconds, "size=$size")
        }
    }

    @Test
    fun `the rate holds while two halves of the fleet do not hear each other`() {
        listOf(6, 40, 83).forEach { size ->
            val load = Load(size, rate = 10.0) { 300.0 / size }
            load.run(6.seconds)
            load.cutInHalves()
            load.run(8.seconds)
            load.heal()
            load.run(6.seconds)
            load.assertWithin(since = 3.seconds, "size=$size")
        }
    }

    @Test
    fun `every daemon learns of a rate that one of them was told, and of its end`() {
        SIZES.forEach { size ->
            val load = Load(size, rate = 10.0) { 0.0 }
            load.run(2.seconds)
            load.namedRates.first().record(10.0)
            load.run(1.seconds)
            assertTrue(load.namedRates.all { it.perSecond == 10.0 }, "size=$size")
            load.namedRates.last().recordNone(load.now)
            load.run(1.seconds)
            assertTrue(load.namedRates.all { it.perSecond == null }, "size=$size")
        }
    }

    @Test
    fun `the traffic of rates that all endpoints name does not grow from 30 to 300 daemons`() {
        val bytes = listOf(10, 30, 100, 300).associateWith(::addedBytes)
        bytes.forEach { (size, each) -> println("%d daemons: %.0f bytes/s a daemon for rates".format(size, each)) }
        assertTrue(bytes.getValue(300) <= bytes.getValue(30) * 1.5, "$bytes")
    }

    /** Bytes a second and daemon that 40 endpoints add when each of them names a rate in its responses. */
    private fun addedBytes(size: Int): Double = bytes(size, isNamed = true) - bytes(size, isNamed = false)

    private fun bytes(size: Int, isNamed: Boolean): Double {
        val fleet = VirtualFleet(size)
        val endpoints = List(40) { endpoint("i-%010d".format(it)) }
        fleet.daemons.forEach { it.state.directory.replace(endpoints) }
        fleet.run(2.seconds)
        fleet.resetCounts()
        fleet.runEvery(100.milliseconds, 10.seconds) {
            if (isNamed) fleet.daemons.first().state.directory.all.forEach { it.namedRate.record(7.5) }
        }
        return fleet.sentBytes.values.sum() / 10.0 / size
    }

    /**
     * Calls to one endpoint that names [rate] in every response.
     *
     * @param demand calls per second of each daemon, all of which would go to the endpoint.
     */
    private class Load(size: Int, private val rate: Double, private val demand: Load.(Int) -> Double) {
        private val fleet = VirtualFleet(size, random = Random(SEED))
        private val random = Random(SEED)
        private val request = PlacementRequest(Service("models"), affinity = null)
        private val choosers = fleet.daemons.map { daemon ->
            daemon.state.directory.replace(listOf(endpoint("e1", slots = 1000)))
            EndpointChooser(daemon.state.directory, daemon.member.zone, fleet.clock, partOf = daemon.state::ratePart)
        }
        val now: Duration get() = fleet.clock.now()
        val sent = ArrayList<Duration>()
        val namedRates = fleet.daemons.map { it.state.directory.all.single().namedRate }

        fun run(time: Duration) = fleet.runEvery(STEP, time) {
            choosers.forEachIndexed { index, chooser ->
                if (random.nextDouble() < demand(index) * STEP.inWholeMilliseconds / MILLIS) call(index, chooser)
            }
        }

        fun cutInHalves() = fleet.cutBetween { it.member.name.hashCode() % 2 == 0 }

        fun heal() = fleet.heal()

        private fun call(index: Int, chooser: EndpointChooser) {
            fleet.daemons[index].state.serviceDemand.recordCall(request.service.name)
            val state = chooser.choose(request) ?: return
            sent += now
            state.namedRate.record(rate)
        }

        /** Asserts that no window from [since] on has more calls than half as many again as the rate allows, and 5. */
        fun assertWithin(since: Duration, case: String) {
            val counted = sent.filter { it >= since }
            val most = counted.indices.maxOfOrNull { first -> callsInWindow(counted, first) } ?: 0
            val allowed = rate * WINDOW.inWholeSeconds * 1.5 + 5
            assertTrue(most <= allowed, "$case: $most calls in $WINDOW, allowed $allowed")
        }

        private fun callsInWindow(times: List<Duration>, first: Int): Int {
            val end = times[first] + WINDOW
            return times.asSequence().drop(first).takeWhile { it < end }.count()
        }
    }

    private companion object {
        const val SEED = 26
        const val MILLIS = 1000.0
        val SIZES = listOf(2, 6, 40, 83, 300)
        val RATES = listOf(0.5, 7.8, 52.0)
        val STEP = 10.milliseconds
        val WINDOW = 4.seconds
    }
}
