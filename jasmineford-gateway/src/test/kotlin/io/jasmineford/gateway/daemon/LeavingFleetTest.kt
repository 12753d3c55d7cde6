package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.LeavingReader
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.noOpLog
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Endpoints that leave one after the other before daemons of any number, while the store lists them as ready. Guards
 * against calls that a daemon sends to an endpoint after it has passed on a response which says that it is leaving.
 */
class LeavingFleetTest {
    @Test
    fun `no daemon sends a call to an endpoint after a response that says that it is leaving`() {
        SIZES.forEach { size ->
            val load = Load(size)
            load.run(5.seconds)
            load.leave("e0")
            load.run(5.seconds)
            load.replaceRegistrations { it.map { endpoint -> endpoint.copy(slots = 900) } }
            load.leave("e1")
            load.run(5.seconds)
            load.assertNoneLate("size=$size seed=$SEED")
            assertTrue(load.learnt("e0") == size && load.learnt("e1") == size, "size=$size: not all daemons called it")
            println("%d daemons: %d calls after the first one knew".format(size, load.callsAfterFirstKnew("e0")))
        }
    }

    @Test
    fun `a daemon that sees registrations lapse and return, and hears no other one, keeps to what it knows`() {
        SIZES.forEach { size ->
            val load = Load(size)
            load.leave("e0")
            load.run(5.seconds)
            load.cutOff()
            load.replaceRegistrations { emptyList() }
            load.run(5.seconds)
            load.replaceRegistrations { load.allEndpoints }
            load.run(5.seconds)
            load.assertNoneLate("size=$size seed=$SEED")
        }
    }

    @Test
    fun `a process that starts under the id of one that left is used by every daemon`() {
        SIZES.forEach { size ->
            val load = Load(size)
            load.leave("e0")
            load.run(5.seconds)
            load.restart("e0")
            load.run(5.seconds)
            load.assertNoneLate("size=$size seed=$SEED")
            assertEquals(size, load.daemonsUsing("e0"), "size=$size")
            assertTrue(load.callsSince("e0", 5.seconds) >= size, "size=$size seed=$SEED")
        }
    }

    /** Calls to four endpoints, each of which responds after [RESPONSE_TIME] and says whether it is leaving. */
    private class Load(private val size: Int) {
        private val fleet = VirtualFleet(size, random = Random(SEED))
        private val random = Random(SEED)
        private val request = PlacementRequest(Service("models"), affinity = null)
        private val leaving = HashSet<Endpoint>()
        private val sent = ArrayList<Sent>()
        private val passedOn = HashMap<Pair<Int, Process>, Duration>()
        private val choosers = fleet.daemons.map { daemon ->
            EndpointChooser(daemon.state.directory, daemon.member.zone, fleet.clock, partOf = daemon.state::ratePart)
        }
        private val readers = fleet.daemons.map { daemon ->
            LeavingReader(headerNames, noOpLog, daemon.state.directory::recordLeaving)
        }
        private var responses = ArrayList<Response>()
        var allEndpoints = List(4) { endpoint("e$it", slots = 1000).copy(startedAtMillis = 1) }
            private set

        init {
            replaceRegistrations { allEndpoints }
        }

        fun run(time: Duration) = fleet.runEvery(STEP, time) {
            val (due, open) = responses.partition { it.at <= fleet.clock.now() }
            responses = ArrayList(open)
            due.forEach(::respond)
            choosers.indices.forEach { if (random.nextDouble() < CALLS_A_STEP) call(it) }
        }

        fun replaceRegistrations(change: (List<Endpoint>) -> List<Endpoint>) {
            val next = change(allEndpoints)
            fleet.daemons.forEach { it.state.directory.replace(next) }
        }

        fun leave(id: String) {
            leaving += allEndpoints.filter { it.id == id }
        }

        fun restart(id: String) {
            allEndpoints = allEndpoints.map { if (it.id == id) it.copy(startedAtMillis = 2) else it }
            replaceRegistrations { allEndpoints }
        }

        fun cutOff() = fleet.cutOff(fleet.daemons)

        private fun call(daemon: Int) {
            val state = choosers[daemon].choose(request) ?: return
            state.inFlight++
            val process = Process(state.endpoint.id, state.endpoint.startedAtMillis)
            sent += Sent(daemon, process, fleet.clock.now())
            val isLeaving = leaving.any { Process(it.id, it.startedAtMillis) == process }
            responses += Response(fleet.clock.now() + RESPONSE_TIME) {
                state.inFlight--
                if (isLeaving) passedOn.getOrPut(daemon to process) { fleet.clock.now() }
                val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK)
                if (isLeaving) head.headers()[headerNames.leaving] = "1"
                readers[daemon].read(state, head)
            }
        }

        private fun respond(response: Response) = response.deliver()

        /** Asserts that no daemon sent a call after it had passed on a response that says that the endpoint leaves. */
        fun assertNoneLate(case: String) {
            val late = sent.filter { call -> passedOn[call.daemon to call.process].let { it != null && call.at > it } }
            assertEquals(emptyList(), late.take(3), "$case: ${late.size} calls")
        }

        fun learnt(id: String) = passedOn.keys.count { it.second.id == id }

        fun callsAfterFirstKnew(id: String): Int {
            val first = passedOn.filterKeys { it.second.id == id }.values.min()
            return sent.count { it.process.id == id && it.at > first }
        }

        fun callsSince(id: String, since: Duration) = sent.count { it.process.id == id && it.at >= since }

        fun daemonsUsing(id: String) =
            fleet.daemons.count { daemon -> daemon.state.directory.usable("models").any { it.endpoint.id == id } }
    }

    private data class Process(val id: String, val startedAt: Long)

    private data class Sent(val daemon: Int, val process: Process, val at: Duration)

    private class Response(val at: Duration, val deliver: () -> Unit)

    private companion object {
        const val SEED = 33
        val SIZES = listOf(1, 6, 10, 30, 100, 300)
        val STEP = 10.milliseconds
        val RESPONSE_TIME = 30.milliseconds

        /** Eight calls a second at each daemon, fewer than the response time allows at once. */
        const val CALLS_A_STEP = 0.08
    }
}
