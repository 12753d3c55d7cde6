package io.jasmineford.gateway.cost

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint.EndpointState
import kotlin.math.ln
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Observes calls at endpoints, and learns from them what calls cost and how fast endpoints are.
 *
 * @param onEstimateChecked gets the actual over the estimated work of each successful call.
 */
class CallObserver(
    private val clock: MonotonicClock,
    placement: WorkPlacement,
    private val onEstimateChecked: (ratio: Double) -> Unit = {},
) {
    private val meanLogRatio = HashMap<String, Double>()
    private val estimator = placement.estimator

    /** Expected work of a call, see [CallCostEstimator.work]. */
    fun work(route: String, service: Service, hints: CallHints): CallWork =
        estimator.work(route, service, hints)

    /**
     * Records that a call is sent to the endpoint of [state].
     *
     * @param isWhole whether the response will hold all that the call generates, not the rest of a stream.
     */
    fun begin(state: EndpointState, work: CallWork, isWhole: Boolean): CallProgress =
        CallProgress(state, work, isWhole)

    /** Progress of a call at an endpoint. */
    inner class CallProgress internal constructor(
        private val state: EndpointState,
        private val work: CallWork,
        private val isWhole: Boolean,
    ) {
        private val startedAt = clock.now()
        private val estimate = estimator.estimate(state, work)
        private val others = state.inFlight + state.inFlightAtPeers - 1
        private val running = RunningCall(estimate.cost, work.outputTokens, startedAt)
        private val added = work.hints.parts.takeIf { it.isNotEmpty() }
        private var firstEventAt: Duration? = null
        private var events = 0
        private var hasSucceeded = false

        init {
            state.work.add(running)
            added?.let { state.work.cache.add(it, work.service.memoryTokens) }
        }

        /** Records that the endpoint sent an event. */
        fun event() {
            firstEventAt = firstEventAt ?: clock.now()
            events++
            running.generated(work.service.tokensPerEvent)
        }

        /** Records that the call succeeded after [took]. */
        fun succeeded(took: Duration) {
            hasSucceeded = true
            val sample = CallSample(
                cachedTokens = estimate.cachedTokens,
                firstEventMillis = firstEventAt?.let { (it - startedAt).toDouble(DurationUnit.MILLISECONDS) },
                millis = took.toDouble(DurationUnit.MILLISECONDS),
                tokens = events * work.service.tokensPerEvent,
                speed = estimate.speed,
                others = others.coerceAtLeast(0),
            )
            val actual = estimator.cost(work, estimate.cachedTokens, sample.tokens.toDouble())
            recordSpeed(sample, actual.millis + estimate.remainingMillis / state.endpoint.slots.coerceAtLeast(1))
            val actualMillis = if (work.isGenerating) actual.millis else sample.millis * sample.speed
            onEstimateChecked(actualMillis / estimate.cost.millis.coerceAtLeast(MIN_MILLIS))
            estimator.record(work, sample, isWhole)
        }

        /** Records that the call is at the endpoint no more. */
        fun ended() {
            if (state.work.remove(running) && !hasSucceeded && firstEventAt == null) {
                added?.let { state.work.cache.remove(it) }
            }
        }

        /** Compares with the mean of the service, so that a wrong time per token makes no endpoint slow. */
        private fun recordSpeed(sample: CallSample, expectedMillis: Double) {
            val logRatio = ln(sample.millis.coerceAtLeast(MIN_MILLIS) / expectedMillis.coerceAtLeast(MIN_MILLIS))
            val mean = meanLogRatio[work.service.name] ?: logRatio
            meanLogRatio[work.service.name] = mean + (logRatio - mean) * MEAN_WEIGHT
            state.work.speed.record(logRatio - mean)
        }
    }

    private companion object {
        const val MIN_MILLIS = 0.1

        /** Weight of the newest sample: some dozen calls, hence several endpoints, determine the mean. */
        const val MEAN_WEIGHT = 0.03
    }
}
