package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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
 * @param isPressed whether the daemon itself is overloaded, so that calls wait in another order.
 */
class Dispatcher(
    private val chooser: EndpointChooser,
    private val clock: MonotonicClock,
    private val onArrival: (service: String) -> Unit = {},
    private val isPressed: () -> Boolean = { false },
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
        val stats = completionsOf(service.name)
        if (!chooser.isServable(call.placement)) {
            refuseUnservable(call)
            return
        }
        val now = clock.now()
        if (stats.outlook(now, queue.size, timeLeft = call.scheduling.expiresAt - now).isInTime) {
            queue.add(call)
            assignWaiting()
        } else {
            call.onRefused(stats.retryAfter(now, queue.size))
        }
    }

    /** What [submit] would find for a call of [service] that has [timeLeft]; changes nothing. */
    fun outlook(service: Service, timeLeft: Duration): QueueOutlook {
        val stats = completions[service.name] ?: CompletionStats()
        return stats.outlook(clock.now(), queues[service.name]?.size ?: 0, timeLeft)
    }

    /** Removes [call] from its queue; false when it is no longer queued. */
    fun cancel(call: WaitingCall): Boolean = queues[call.placement.service.name]?.remove(call) ?: false

    /** Records that an endpoint of [service] finished a call in [duration], and assigns waiting calls. */
    fun completed(service: Service, duration: Duration) {
        completionsOf(service.name).record(clock.now(), duration)
        assignWaiting()
    }

    /** Assigns waiting calls while endpoints have free capacity; nested invocations return at once. */
    fun assignWaiting() {
        if (isAssigning) return
        isAssigning = true
        queues.forEach(::drain)
        isAssigning = false
    }

    private fun drain(service: String, queue: WaitQueue<WaitingCall>) {
        if (queue.size == 0) return
        val now = clock.now()
        val stats = completionsOf(service)
        queue.removeExpired(now, MIN_SERVICE_TIME).forEach { it.onRefused(stats.retryAfter(now, queue.size)) }
        val order = if (isPressed()) queue.inPressureOrder(now) else queue.inOrder(now)
        val left = place(order, queue)
        if (left.isNotEmpty()) refuseHopeless(left, queue, stats)
    }

    /** Places the calls of [order] while endpoints have free capacity; returns those that go on waiting, in order. */
    private fun place(order: List<WaitingCall>, queue: WaitQueue<WaitingCall>): List<WaitingCall> {
        val left = ArrayList<WaitingCall>()
        order.forEachIndexed { index, call ->
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
                call.placement.version == null -> return left + order.drop(index)
                else -> left += call
            }
        }
        return left
    }

    /** Refuses the calls of [order] that can't be answered in time at twice the present rate of completions. */
    private fun refuseHopeless(order: List<WaitingCall>, queue: WaitQueue<WaitingCall>, stats: CompletionStats) {
        val now = clock.now()
        if (!stats.isKnown(now) || !stats.takeCheck(now)) return
        var ahead = 0
        val hopeless = ArrayList<WaitingCall>()
        order.forEach { call ->
            val soonest = now + stats.wait(now, ahead) / CERTAINTY + stats.shortest
            if (soonest > call.scheduling.expiresAt) hopeless += call else ahead++
        }
        hopeless.forEach { if (queue.remove(it)) it.onRefused(stats.retryAfter(now, queue.size)) }
    }

    private fun refuseUnservable(call: WaitingCall) =
        call.onRefused(if (call.placement.version == null) REPLACEMENT_RETRY_AFTER else Duration.ZERO)

    private fun completionsOf(service: String) = completions.getOrPut(service) { CompletionStats() }

    private companion object {
        /** Lower bound of the time an endpoint takes for any call. */
        val MIN_SERVICE_TIME = 5.milliseconds

        /** Time in which an endpoint that takes the place of one that leaves may be registered. */
        val REPLACEMENT_RETRY_AFTER = 200.milliseconds

        /** The rate of completions varies; a call is refused only if it would be late at this multiple of it. */
        const val CERTAINTY = 2.0
    }
}
