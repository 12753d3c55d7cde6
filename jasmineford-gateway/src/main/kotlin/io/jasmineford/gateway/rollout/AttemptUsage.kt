package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointState
import kotlin.time.Duration

/** Tells a [VersionGate] how the attempts of one call on [route] end. */
internal class AttemptUsage(
    private val gate: VersionGate,
    private val clock: MonotonicClock,
    private val route: String,
) {
    private var startedAt = Duration.ZERO

    /** Records that an attempt starts. */
    fun start() {
        startedAt = clock.now()
    }

    /** Records that the attempt at the endpoint of [state] ended with [result], after [events] of a stream. */
    fun end(state: EndpointState, result: AttemptResult, events: Int) {
        val total = clock.now() - startedAt
        gate.recordEnd(state, route, result, total / events.coerceAtLeast(1), total)
    }
}
