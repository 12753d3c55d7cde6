package io.jasmineford.gateway.cost

import io.jasmineford.core.schedule.TokenCost
import io.jasmineford.gateway.config.Service

/**
 * Estimates the work of calls: prompt tokens to read and tokens to generate at learned times per token, or the learned
 * service time of the route for services that generate no tokens.
 */
internal class CallCostEstimator {
    private val outputs = HashMap<String, OutputEstimate>()
    private val routeMillis = HashMap<String, MeanTime>()
    private val rates = HashMap<String, TokenTimes>()

    /** Expected work of a call on [route] to [service] with [hints]. */
    fun work(route: String, service: Service, hints: CallHints): CallWork {
        if (service.tokensPerEvent <= 0) {
            return CallWork(route, service, hints, plainMillis = routeMillis[route]?.millis ?: INITIAL_MILLIS)
        }
        val max = hints.maxTokens.takeIf { it > 0 } ?: DEFAULT_MAX_TOKENS
        val hint = hints.expectedTokens?.toDouble() ?: (max * UNHINTED_FRACTION)
        val expected = outputsOf(route, hints).of(hint).coerceIn(1.0, max.toDouble())
        return CallWork(route, service, hints, hintTokens = hint, outputTokens = expected)
    }

    /** Work of a call at an endpoint that has [cachedTokens] of its prompt cached and generates [outputTokens]. */
    fun cost(work: CallWork, cachedTokens: Int, outputTokens: Double = work.outputTokens): CallCost {
        if (!work.isGenerating) return CallCost(prefillMillis = 0.0, decodeMillis = work.plainMillis, tokens = 0)
        val uncached = (work.hints.promptTokens - cachedTokens).coerceAtLeast(0)
        val times = timesOf(work.service)
        return CallCost(
            prefillMillis = uncached * times.prefill.millis,
            decodeMillis = outputTokens * times.decode.millis,
            tokens = uncached + outputTokens.toInt(),
        )
    }

    /** Typical work of a call to [service] in milliseconds, the unit in which other costs of placement are given. */
    fun typicalMillis(service: String): Double = rates[service]?.call?.millis ?: INITIAL_MILLIS

    /** Learns from a successful call. */
    fun record(work: CallWork, sample: CallSample, isWhole: Boolean) {
        // The times of calls at idle endpoints tell most of the work itself; others also wait or share the endpoint.
        val weight = 1.0 / (1 + sample.others)
        val times = timesOf(work.service)
        if (work.isGenerating) {
            if (isWhole) outputsOf(work.route, work.hints).record(work.hintTokens, sample.tokens)
            times.record(work, sample, weight)
        } else {
            routeMillis.getOrPut(work.route) { MeanTime(INITIAL_MILLIS) }.add(sample.millis * sample.speed, weight)
        }
        val actual = cost(work, sample.cachedTokens, sample.tokens.toDouble())
        times.call.add(actual.millis, weight = 1.0)
    }

    private fun timesOf(service: Service) = rates.getOrPut(service.name) { TokenTimes(service.tokensPerEvent) }

    /** Calls with a hint and without one are corrected apart, as the latter start from their maximum. */
    private fun outputsOf(route: String, hints: CallHints) =
        outputs.getOrPut(if (hints.expectedTokens == null) "$route without hint" else route) { OutputEstimate() }

    companion object {
        /** Expected work of a call before any has ended. */
        private const val INITIAL_MILLIS = 50.0

        /** Limit of the generated tokens of calls that state none. */
        private const val DEFAULT_MAX_TOKENS = 512

        /** Expected output of a call without a hint as a fraction of its maximum, before any has ended. */
        private const val UNHINTED_FRACTION = 0.5
    }
}

/** Learned times per token of a service. */
private class TokenTimes(private val tokensPerEvent: Int) {
    val prefill = MeanTime(INITIAL_PREFILL_MILLIS)

    /** The weights of the product's own scheduler hold until the service's times are learned. */
    val decode = TokenCost().let { MeanTime(INITIAL_PREFILL_MILLIS * it.completion / it.uncachedPrompt) }
    val call = MeanTime(initialMillis = INITIAL_CALL_MILLIS)

    fun record(work: CallWork, sample: CallSample, weight: Double) {
        val first = sample.firstEventMillis ?: return
        val later = sample.tokens - tokensPerEvent
        if (later > 0) decode.add((sample.millis - first) * sample.speed / later, weight)
        val uncached = work.hints.promptTokens - sample.cachedTokens
        if (uncached < MIN_PROMPT_TOKENS) return
        val reading = first * sample.speed - minOf(sample.tokens, tokensPerEvent) * decode.millis
        prefill.add((reading / uncached).coerceAtLeast(MIN_PREFILL_MILLIS), weight)
    }

    private companion object {
        const val INITIAL_PREFILL_MILLIS = 0.05
        const val INITIAL_CALL_MILLIS = 50.0

        /** Shorter prompts tell nothing about the time that a token takes. */
        const val MIN_PROMPT_TOKENS = 50
        const val MIN_PREFILL_MILLIS = 0.001
    }
}

/** Weighted mean of times in which the latest samples count most. */
private class MeanTime(initialMillis: Double) {
    var millis = initialMillis
        private set
    private var total = 0.0

    fun add(sample: Double, weight: Double) {
        total = total * DECAY + weight
        millis += (sample - millis) * (weight / total)
    }

    private companion object {
        /** About the last 50 calls count. */
        const val DECAY = 0.98
    }
}
