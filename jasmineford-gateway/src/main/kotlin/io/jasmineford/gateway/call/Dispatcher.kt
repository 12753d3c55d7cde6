package io.jasmineford.gateway.call

import io.jasmineford.core.limit.DemandEstimate
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A call that waits for an endpoint.
 *
 * @property onPlaced gets the endpoint, on which the call is already counted.
 * @property onRefused the call can't be served in time; it has not been sent.
 */
class WaitingCall(
    val ticket: WaitTicket,
    val placement: PlacementRequest,
    val onPlaced: (EndpointState) -> Unit,
    val onRefused: (retryAfter: Duration) -> Unit,
)

/** Hands waiting calls to endpoints as these get room. */
class Dispatcher(
    private val chooser: EndpointChooser,
    private val clock: MonotonicClock,
) {
    private val queues = HashMap<String, WaitQueue<WaitingCall>>()
    private val completions = HashMap<String, Completions>()
    private var isRunning = false

    /** Number of waiting calls. */
    val waiting: Int get() = queues.values.sumOf { it.size }

    /** Places [call] at once, lets it wait, or refuses it when the wait would outlast its time. */
    fun submit(call: WaitingCall) {
        val service = call.placement.service
        val queue = queues.getOrPut(service.name) { WaitQueue { it.ticket } }
        val wait = expectedWait(service, queue.size)
        val available = call.ticket.expiresAt - clock.now() - completionsOf(service).serviceTime
        if (queue.size > 0 && wait > available) {
            call.onRefused(wait.coerceAtMost(MAX_RETRY_AFTER))
        } else {
            queue.add(call)
            run()
        }
    }

    /** Takes [call] out of its queue; false when it was placed already. */
    fun cancel(call: WaitingCall): Boolean = queues[call.placement.service.name]?.remove(call) ?: false

    /** An endpoint of [service] finished a call that took [took]. */
    fun completed(service: Service, took: Duration) {
        completionsOf(service).note(clock.now(), took)
        run()
    }

    /** Places whatever can be placed now. */
    fun run() {
        if (isRunning) return
        isRunning = true
        queues.values.forEach(::drain)
        isRunning = false
    }

    private fun drain(queue: WaitQueue<WaitingCall>) {
        if (queue.size == 0) return
        val now = clock.now()
        queue.removeExpired(now, LEAST_SERVICE_TIME).forEach { it.onRefused(Duration.ZERO) }
        for (call in queue.inOrder(now)) {
            val state = chooser.choose(call.placement) ?: break
            queue.remove(call)
            state.inFlight++
            call.onPlaced(state)
        }
    }

    /** Time until a call behind [ahead] others is placed. */
    private fun expectedWait(service: Service, ahead: Int): Duration {
        val perSecond = completionsOf(service).rate.perSecond(clock.now())
        return if (perSecond <= 0) Duration.ZERO else (ahead / perSecond).seconds
    }

    private fun completionsOf(service: Service) = completions.getOrPut(service.name) { Completions() }

    private companion object {
        /** No call is answered faster. */
        val LEAST_SERVICE_TIME = 5.milliseconds

        /** Longest time a caller is asked to stay away. */
        val MAX_RETRY_AFTER = 2.seconds
    }
}

/** Smoothed rate and duration of a service's calls. */
private class Completions {
    /** Calls that end. */
    val rate = DemandEstimate(RATE_MEMORY)

    /** Smoothed time of one call. */
    var serviceTime: Duration = Duration.ZERO
        private set

    /** Takes a call that ended at [now] and took [took]. */
    fun note(now: Duration, took: Duration) {
        rate.add(now)
        serviceTime = if (serviceTime == Duration.ZERO) took else serviceTime + (took - serviceTime) * TIME_WEIGHT
    }

    private companion object {
        /** Time over which completions are averaged. */
        val RATE_MEMORY = 1.seconds

        /** Weight of the newest call's time. */
        const val TIME_WEIGHT = 0.1
    }
}
