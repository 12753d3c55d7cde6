package io.jasmineford.gateway.cost

import io.jasmineford.gateway.config.Service

/**
 * Expected work of a call, before an endpoint is chosen.
 *
 * @property hintTokens hint of the generated tokens on which [outputTokens] is based.
 * @property outputTokens expected number of generated tokens; 0 for services that generate none.
 * @property plainMillis expected service time in milliseconds; for services that generate no tokens.
 */
data class CallWork(
    val route: String,
    val service: Service,
    val hints: CallHints,
    val hintTokens: Double = 0.0,
    val outputTokens: Double = 0.0,
    val plainMillis: Double = 0.0,
) {
    /** Whether the service reads prompts and generates tokens. */
    val isGenerating: Boolean get() = service.tokensPerEvent > 0
}

/**
 * Work of a call at an endpoint, in milliseconds on an idle reference endpoint.
 *
 * @property prefillMillis time to read the part of the prompt that is not cached.
 * @property decodeMillis time to generate the output, or the service time of a service that generates no tokens.
 * @property tokens memory that the call needs at the endpoint beyond what is cached there.
 */
data class CallCost(val prefillMillis: Double, val decodeMillis: Double, val tokens: Int) {
    /** Sum of both phases. */
    val millis: Double get() = prefillMillis + decodeMillis
}

/**
 * What was observed of a successful call.
 *
 * @property cachedTokens tokens of the prompt that the endpoint was expected to have cached.
 * @property firstEventMillis time to the first event; null when there was none.
 * @property tokens tokens that were generated.
 * @property speed learned speed of the endpoint.
 * @property others calls that were in flight at the endpoint when this one was placed.
 */
internal data class CallSample(
    val cachedTokens: Int,
    val firstEventMillis: Double?,
    val millis: Double,
    val tokens: Int,
    val speed: Double,
    val others: Int,
)
