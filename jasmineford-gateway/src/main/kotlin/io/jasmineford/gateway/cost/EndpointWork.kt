package io.jasmineford.gateway.cost

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Work in flight, learned speed and cached prompts of one endpoint. */
class EndpointWork(private val clock: MonotonicClock) {
    private val running = ArrayList<RunningCall>()
    internal val speed = LearnedSpeed(clock)
    internal val cache = PromptCache()

    /** What is left of the other daemons' calls, in milliseconds on the reference endpoint, by their heartbeats. */
    internal var millisAtPeers = 0.0
        private set

    /** Memory that the other daemons' calls take, in tokens, by their heartbeats. */
    internal var tokensAtPeers = 0L
        private set

    /** Replaces the work of the other daemons' calls. */
    internal fun setPeers(millis: Double, tokens: Long) {
        millisAtPeers = millis
        tokensAtPeers = tokens
    }

    /** What is left of this daemon's calls, in milliseconds on the reference endpoint. */
    internal fun ownMillis(): Double = if (running.isEmpty()) 0.0 else remaining(clock.now(), speed.value)

    /** Memory that this daemon's calls take, in tokens. */
    internal fun ownTokens(): Long = running.sumOf { it.memoryTokens.toLong() }

    /** What is left of all daemons' calls, in milliseconds on the reference endpoint. */
    val remainingMillis: Double get() = ownMillis() + millisAtPeers

    /** Memory that the calls in flight take, in tokens. */
    val tokens: Long get() = ownTokens() + tokensAtPeers

    internal fun add(call: RunningCall) {
        running.add(call)
    }

    internal fun remove(call: RunningCall) = running.remove(call)

    private fun remaining(now: Duration, speed: Double) = running.sumOf { it.remainingMillis(now, speed) }
}

/** Estimated progress of a call that is in flight at an endpoint. */
internal class RunningCall(
    private val cost: CallCost,
    private val outputTokens: Double,
    private val startedAt: Duration,
) {
    private var generated = 0

    /** Memory of the call: the estimate, or more once it has generated more. */
    val memoryTokens: Int get() = cost.tokens + (generated - outputTokens.toInt()).coerceAtLeast(0)

    /** Records [tokens] more that were generated. */
    fun generated(tokens: Int) {
        generated += tokens
    }

    /** What is left of the call at [now], in milliseconds on the reference endpoint. */
    fun remainingMillis(now: Duration, speed: Double): Double {
        val done = (now - startedAt).toDouble(DurationUnit.MILLISECONDS) * speed
        return when {
            outputTokens <= 0 -> maxOf(cost.decodeMillis - done, cost.decodeMillis * OVERDUE_FRACTION)
            generated == 0 -> READING_WEIGHT * maxOf(cost.prefillMillis - done, 0.0) + cost.decodeMillis
            else -> maxOf(outputTokens - generated, generated * OVERDUE_FRACTION) * (cost.decodeMillis / outputTokens)
        }
    }

    private companion object {
        /** What is left of a call that has exceeded its estimate, as a fraction of what it has taken. */
        const val OVERDUE_FRACTION = 0.5

        /** Endpoints read prompts one by one and meanwhile generate slowly: reading counts as several slots' work. */
        const val READING_WEIGHT = 3.0
    }
}
