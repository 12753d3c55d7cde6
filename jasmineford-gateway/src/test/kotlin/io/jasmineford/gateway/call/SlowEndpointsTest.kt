package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.endpoint.RatePart
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against calls that wait in vain for slow endpoints until it is too late to go elsewhere. */
class SlowEndpointsTest {
    private val clock = VirtualClock(10.seconds)
    private val scheduler = VirtualScheduler(clock)
    private val directory = EndpointDirectory(clock).apply { replace(listOf(endpoint("e1", slots = 4))) }
    private val dispatcher =
        Dispatcher(EndpointChooser(directory, "a", clock) { RatePart(share = 1.0, rank = 0) }, clock)
    private val service = Service("models")
    private var serviceTime = 100.milliseconds
    private var placed = 0
    private val leftWithTime = ArrayList<Duration>()
    private val retries = ArrayList<Duration>()

    private fun submit(timeLeft: Duration) {
        val now = clock.now()
        val scheduling = SchedulingAttributes(0, now + 1.seconds, expiresAt = now + timeLeft, arrivedAt = now)
        val refused = { retryAfter: Duration ->
            leftWithTime += now + timeLeft - clock.now()
            retries += retryAfter
        }
        dispatcher.submit(WaitingCall(scheduling, PlacementRequest(service, affinity = null), ::serve, refused))
    }

    private fun serve(state: EndpointState) {
        placed++
        val took = serviceTime
        scheduler.after(took) {
            state.inFlight--
            dispatcher.completed(service, took)
        }
    }

    private fun run(period: Duration, time: Duration, timeLeft: Duration) = repeat((time / period).toInt()) {
        submit(timeLeft)
        scheduler.advance(period)
    }

    @Test
    fun `calls that can't be served in time leave with time left and the wait of the queue`() {
        run(period = 30.milliseconds, time = 3.seconds, timeLeft = 2.seconds)
        assertEquals(0, retries.size)
        serviceTime = 400.milliseconds
        run(period = 30.milliseconds, time = 6.seconds, timeLeft = 2.seconds)
        assertTrue(leftWithTime.isNotEmpty())
        val late = leftWithTime.count { it < serviceTime / 2 }
        assertEquals(0, late, "$late of ${leftWithTime.size} calls waited until it was too late to go elsewhere")
        assertTrue(retries.all { it in 50.milliseconds..2.seconds }, "times to come back: $retries")
    }

    @Test
    fun `a call with little time is still sent while an endpoint is free`() {
        run(period = 100.milliseconds, time = 5.seconds, timeLeft = 2.seconds)
        submit(timeLeft = 40.milliseconds)
        assertEquals(51, placed)
        assertEquals(0, retries.size)
    }
}
