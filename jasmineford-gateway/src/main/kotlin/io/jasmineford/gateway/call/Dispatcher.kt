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
 * @property onPlaced gets the chosen endpoint, whose calls in flight already include this one.
 * @property onRefused called when the call can't be served in time; it has not been sent.
 */
class WaitingCall(
    val scheduling: SchedulingAttributes,
    val placement: PlacementRequest,
    val onPlaced: (EndpointState) -> Unit,
    val onRefused: (retryAfter: Duration) -> Unit,
)

/**
 * Queues calls by service and assigns them to endpoints as these have free capacity.
 *
 * @param onArrival called with the name of the service of each call that is submitted.
 */
class Dispatcher(
    private val chooser: EndpointChooser,
    private val clock: MonotonicClock,
    private val onArrival: (service: String) -> Unit = {},
) {
    private val queues = HashMap<String, WaitQueue<WaitingCall>>()
    private val completions = HashMap<String, CompletionStats>()
    private var isAssigning = false

    /** Number of waiting calls. */
    val waiting: Int get() = queues.values.sumOf { it.size }

    /** Assigns [call] to an endpoint or queues it; refuses it when the expected wait exceeds the time it has left. */
    fun submit(call: WaitingCall) {
        val service = call.placement.service
        onArrival(service.name)
        val queue = queues.getOrPut(service.name) { WaitQueue { it.scheduling } }
        val wait = expectedWait(service, queue.size)
        if (!chooser.isServable(call.placement)) {
            refuseUnservable(call)
            return
        }
        val available = call.scheduling.expiresAt - clock.now() - completionsOf(service).serviceTime
        if (queue.size > 0 && wait > available) {
            call.onRefused(wait.coerceAtMost(MAX_RETRY_AFTER))
        } else {
            queue.add(call)
            assignWaiting()
        }
    }

    /** Removes [call] from its queue; false when it is no longer queued. */
    fun cancel(call: WaitingCall): Boolean = queues[call.placement.service.name]?.remove(call) ?: false

    /** Records that an endpoint of [service] finished a call in [duration], and assigns waiting calls. */
    fun completed(service: Service, duration: Duration) {
        completionsOf(service).record(clock.now(), duration)
        assignWaiting()
    }

    /** Assigns waiting calls while endpoints have free capacity; nested invocations return at once. */
    fun assignWaiting() {
        if (isAssigning) return
        isAssigning = true
        queues.values.forEach(::drain)
        isAssigning = false
    }

    private fun drain(queue: WaitQueue<WaitingCall>) {
        if (queue.size == 0) return
        val now = clock.now()
        queue.removeExpired(now, MIN_SERVICE_TIME).forEach { it.onRefused(Duration.ZERO) }
        for (call in queue.inOrder(now)) {
            val state = chooser.choose(call.placement)
            when {
                state != null -> {
                    queue.remove(call)
                    state.inFlight++
                    call.onPlaced(state)
                }
                !chooser.isServable(call.placement) -> {
                    queue.remove(call)
                    refuseUnservable(call)
                }
                // Calls behind one that has to go to a certain version may have other endpoints.
                call.placement.version == null -> break
            }
        }
    }

    private fun refuseUnservable(call: WaitingCall) =
        call.onRefused(if (call.placement.version == null) REPLACEMENT_RETRY_AFTER else Duration.ZERO)

    /** Expected wait of a call behind [ahead] others, by the rate of completions; zero while that is unknown. */
    private fun expectedWait(service: Service, ahead: Int): Duration {
        val perSecond = completionsOf(service).rate.perSecond(clock.now())
        return if (perSecond <= 0) Duration.ZERO else (ahead / perSecond).seconds
    }

    private fun completionsOf(service: Service) = completions.getOrPut(service.name) { CompletionStats() }

    private companion object {
        /** Lower bound of the time an endpoint takes for any call. */
        val MIN_SERVICE_TIME = 5.milliseconds

        /** Time in which an endpoint that takes the place of one that leaves may be registered. */
        val REPLACEMENT_RETRY_AFTER = 200.milliseconds

        /** Longest retry time given to a caller. */
        val MAX_RETRY_AFTER = 2.seconds
    }
}

/** Smoothed completion rate and duration of a service's calls. */
private class CompletionStats {
    /** Completed calls per second. */
    val rate = DemandEstimate(RATE_AVERAGING_TIME)

    /** Exponentially weighted mean duration of a call; zero before the first one. */
    var serviceTime: Duration = Duration.ZERO
        private set

    /** Records a call that ended at [now] after [duration]. */
    fun record(now: Duration, duration: Duration) {
        rate.add(now)
        val isFirst = serviceTime == Duration.ZERO
        serviceTime = if (isFirst) duration else serviceTime + (duration - serviceTime) * TIME_WEIGHT
    }

    private companion object {
        /** Time constant of the averaged rate. */
        val RATE_AVERAGING_TIME = 1.seconds

        /** Weight of the newest sample. */
        const val TIME_WEIGHT = 0.1
    }
}
