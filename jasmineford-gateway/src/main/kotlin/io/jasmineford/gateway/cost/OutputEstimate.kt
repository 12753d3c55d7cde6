package io.jasmineford.gateway.cost

import kotlin.math.exp
import kotlin.math.floor
import kotlin.math.ln
import kotlin.math.roundToInt

/**
 * Corrects hints of the number of generated tokens by what came, for the calls of one route.
 *
 * A hint close to the route's usual output is mostly right, one far from it is often wrong. The typical error is
 * therefore learned by the hint's distance from the usual output, in logarithms, and interpolated. Without samples the
 * hint stays as it is.
 */
internal class OutputEstimate {
    private var usual = 0.0
    private var calls = 0
    private val errors = List(2 * MAX_DISTANCE + 1) { TypicalError() }

    /** Expected tokens of a call with the hint [hint], in tokens. */
    fun of(hint: Double): Double {
        val logHint = ln(hint.coerceAtLeast(1.0))
        val distance = distance(logHint)
        val below = floor(distance).coerceAtMost(MAX_DISTANCE - 1.0)
        val part = distance - below
        return exp(logHint + errorAt(below) * (1 - part) + errorAt(below + 1) * part)
    }

    /** Records that a call with the hint [hint] generated [tokens]. */
    fun record(hint: Double, tokens: Int) {
        val logHint = ln(hint.coerceAtLeast(1.0))
        val logTokens = ln(tokens.coerceAtLeast(1).toDouble())
        calls++
        usual += (logTokens - usual) * maxOf(1.0 / calls, USUAL_WEIGHT)
        errors[MAX_DISTANCE + distance(logHint).roundToInt()].add(logTokens - logHint)
    }

    private fun errorAt(distance: Double) = errors[MAX_DISTANCE + distance.toInt()].value

    private fun distance(logHint: Double): Double =
        ((logHint - usual) / CLASS_WIDTH).coerceIn(-MAX_DISTANCE.toDouble(), MAX_DISTANCE.toDouble())

    /** Typical error of the hints at one distance: a mean on which single large errors have little influence. */
    private class TypicalError {
        var value = 0.0
            private set
        private var count = PRIOR_CALLS

        fun add(error: Double) {
            count++
            value += (error - value).coerceIn(-MAX_CHANGE, MAX_CHANGE) * maxOf(1.0 / count, WEIGHT)
        }
    }

    private companion object {
        /** Logarithmic width of a class of hints, a factor of two. */
        const val CLASS_WIDTH = 0.7

        /** Classes on each side of the usual output, up to a factor of 16. */
        const val MAX_DISTANCE = 4

        /** Hints that count as right before the first calls. */
        const val PRIOR_CALLS = 2

        /** Weight of the newest error among those at the same distance, once there are enough. */
        const val WEIGHT = 0.03
        const val USUAL_WEIGHT = 0.02

        /** Largest error that counts in full, a factor of seven. */
        const val MAX_CHANGE = 2.0
    }
}
