package io.jasmineford.core.endpoint

import kotlin.math.log2
import kotlin.time.Duration

/**
 * Adaptive window of one endpoint: slow start from the cold window, a fast shrink when answers slow down, and back to the
 * cold window when [WindowSettings.coldAfterAnswers] answers in a row show it or a request fails.
 *
 * @param max slots that the configuration allows.
 */
class EndpointWindow(private val settings: WindowSettings, var max: Int) {
    private val usualFirstToken = HashMap<Int, UsualTime>()
    private val usualInterval = UsualTime()
    private var exact = settings.coldWindow.toDouble()
    private var signs = 0

    /** Requests that may be in flight. */
    val size: Int get() = exact.toInt().coerceAtMost(max)

    /** Whether the window is still that of a cold endpoint. */
    val isCold: Boolean get() = size <= settings.coldWindow

    /** Takes an answer that this endpoint gave. */
    fun answered(sample: AnswerSample) {
        if (sample.isFailed) return turnCold()
        if (isSlow(sample)) slowAnswer() else goodAnswer()
    }

    /** Takes a load report: an endpoint with more in flight than [lent] has work that this window does not know. */
    fun loadReported(inFlight: Int, lent: Int) {
        if (inFlight > maxOf(lent, size)) exact = maxOf(settings.coldWindow.toDouble(), exact * settings.shrinkFactor)
    }

    /** Starts again from the cold window, as after a crash or a return to service. */
    fun turnCold() {
        exact = settings.coldWindow.toDouble()
        signs = 0
    }

    private fun goodAnswer() {
        signs = 0
        exact = (exact + settings.growthPerAnswer).coerceAtMost(max.toDouble())
    }

    private fun slowAnswer() {
        signs++
        exact = maxOf(settings.coldWindow.toDouble(), exact * settings.shrinkFactor)
        if (signs >= settings.coldAfterAnswers) turnCold()
    }

    private fun isSlow(sample: AnswerSample): Boolean {
        val usual = usualFirstToken.getOrPut(sizeClass(sample.uncachedTokens)) { UsualTime() }
        val isFirstTokenSlow = usual.exceeds(sample.firstToken, settings.firstTokenJump)
        val isIntervalSlow = sample.interval?.let { usualInterval.exceeds(it, settings.intervalJump) } ?: false
        return isFirstTokenSlow || isIntervalSlow
    }

    /** Prompts of a similar number of uncached tokens take a similar time to the first token. */
    private fun sizeClass(tokens: Long) = log2(tokens.toDouble() + SMALL_PROMPT).toInt()

    private class UsualTime {
        private var mean: Duration? = null

        /** Whether [time] is more than [ratio] times the usual. Learns from it, quickly from shorter times. */
        fun exceeds(time: Duration, ratio: Double): Boolean {
            val before = mean
            if (before == null) {
                mean = time
                return false
            }
            val isSlow = time > before * ratio
            val rate = if (time < before) FASTER_RATE else SLOWER_RATE
            mean = before + (minOf(time, before * ratio) - before) * rate
            return isSlow
        }
    }

    private companion object {
        const val SMALL_PROMPT = 256.0
        const val FASTER_RATE = 0.2
        const val SLOWER_RATE = 0.03
    }
}
