package io.jasmineford.core.endpoint

import kotlin.math.log2
import kotlin.time.Duration

/**
 * Adaptive concurrency window of one endpoint. It grows from the cold window by slow start, shrinks quickly when
 * answers slow down, and returns to the cold window after [WindowSettings.coldAfterAnswers] slow answers in a row or a
 * failure.
 *
 * @param max upper limit from the configuration.
 */
class EndpointWindow(private val settings: WindowSettings, var max: Int, startsCold: Boolean = true) {
    private val firstTokenBaselines = HashMap<Int, LatencyBaseline>()
    private val intervalBaseline = LatencyBaseline()
    private var fractionalSize = if (startsCold) settings.coldWindow.toDouble() else max.toDouble()
    private var slowAnswersInRow = 0

    /** Number of requests that may be in flight. */
    val size: Int get() = fractionalSize.toInt().coerceAtMost(max)

    /** Whether the window is no larger than that of a cold endpoint. */
    val isCold: Boolean get() = size <= settings.coldWindow

    /** Adapts the window to an answer of this endpoint. */
    fun answered(sample: AnswerSample) {
        if (sample.isFailed) return resetToCold()
        if (isSlow(sample)) slowAnswer() else normalAnswer()
    }

    /** Adapts the window to a load report: more requests in flight than [lent] slots means load from elsewhere. */
    fun loadReported(inFlight: Int, lent: Int) {
        if (inFlight > maxOf(lent, size)) shrink()
    }

    /** Resets to the cold window, as after a crash or a return to service. */
    fun resetToCold() {
        fractionalSize = settings.coldWindow.toDouble()
        slowAnswersInRow = 0
    }

    private fun normalAnswer() {
        slowAnswersInRow = 0
        fractionalSize = (fractionalSize + settings.growthPerAnswer).coerceAtMost(max.toDouble())
    }

    private fun slowAnswer() {
        slowAnswersInRow++
        shrink()
        if (slowAnswersInRow >= settings.coldAfterAnswers) resetToCold()
    }

    private fun shrink() {
        fractionalSize = maxOf(settings.coldWindow.toDouble(), fractionalSize * settings.shrinkFactor)
    }

    private fun isSlow(sample: AnswerSample): Boolean {
        val baseline = firstTokenBaselines.getOrPut(sizeClass(sample.uncachedTokens)) { LatencyBaseline() }
        val isFirstTokenSlow = baseline.exceeds(sample.firstToken, settings.slowFirstTokenRatio)
        val isIntervalSlow = sample.interval?.let { intervalBaseline.exceeds(it, settings.slowIntervalRatio) } ?: false
        return isFirstTokenSlow || isIntervalSlow
    }

    /** Class of prompts with a similar number of uncached tokens, and so a similar time to the first token. */
    private fun sizeClass(tokens: Long) = log2(tokens.toDouble() + SIZE_CLASS_OFFSET_TOKENS).toInt()

    private class LatencyBaseline {
        private var mean: Duration? = null

        /** Whether [time] exceeds [ratio] times the average, which is then updated, faster by shorter times. */
        fun exceeds(time: Duration, ratio: Double): Boolean {
            val before = mean
            if (before == null) {
                mean = time
                return false
            }
            val isSlow = time > before * ratio
            val rate = if (time < before) DECREASE_SMOOTHING else INCREASE_SMOOTHING
            mean = before + (minOf(time, before * ratio) - before) * rate
            return isSlow
        }
    }

    private companion object {
        const val SIZE_CLASS_OFFSET_TOKENS = 256.0
        const val DECREASE_SMOOTHING = 0.2
        const val INCREASE_SMOOTHING = 0.03
    }
}
