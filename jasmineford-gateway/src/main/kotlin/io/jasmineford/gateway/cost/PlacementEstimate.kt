package io.jasmineford.gateway.cost

import io.jasmineford.gateway.endpoint.EndpointState

/**
 * Expected completion of a call at an endpoint, with the inputs of the estimate.
 *
 * @property cost work of the call.
 * @property cachedTokens tokens of the prompt that the endpoint is expected to have cached.
 * @property remainingMillis what is left of the calls in flight, in milliseconds on the reference endpoint.
 * @property speed learned speed of the endpoint.
 * @property memoryTokens memory that the calls in flight take.
 * @property capacityTokens memory of the endpoint, 0 if unknown.
 * @property completionMillis expected time from now to the end of the call.
 */
data class PlacementEstimate(
    val cost: CallCost,
    val cachedTokens: Int,
    val remainingMillis: Double,
    val speed: Double,
    val memoryTokens: Long,
    val capacityTokens: Int,
    val completionMillis: Double,
) {
    /**
     * Whether the call fits into the endpoint's memory. One that exceeds it by itself fits an endpoint without other
     * calls, which decides about it.
     */
    val fits: Boolean
        get() = capacityTokens <= 0 || memoryTokens == 0L || memoryTokens + cost.tokens <= capacityTokens
}

/**
 * Estimates the completion of [work] at the endpoint of [state].
 *
 * The endpoint's slots share its capacity: the calls in flight delay a new one by what is left of them over the number
 * of slots, whether it runs beside them in a batch or waits for the reading of their prompts.
 */
internal fun CallCostEstimator.estimate(state: EndpointState, work: CallWork): PlacementEstimate {
    val cached = state.work.cache.cachedTokens(work.hints.parts)
    val cost = cost(work, cached)
    val remaining = state.work.remainingMillis
    val speed = state.work.speed.value
    return PlacementEstimate(
        cost = cost,
        cachedTokens = cached,
        remainingMillis = remaining,
        speed = speed,
        memoryTokens = state.work.tokens,
        capacityTokens = work.service.memoryTokens,
        completionMillis = (cost.millis + remaining / state.endpoint.slots.coerceAtLeast(1)) / speed,
    )
}
