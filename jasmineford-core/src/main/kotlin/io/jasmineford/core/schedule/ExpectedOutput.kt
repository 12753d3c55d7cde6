package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName

/** Moving average of answer tokens per account: charged when a call is dispatched and corrected when it ends. */
internal class ExpectedOutput {
    private val means = HashMap<ScopedName, Double>()

    fun of(account: ScopedName): Double = means[account] ?: INITIAL_TOKENS

    fun learn(account: ScopedName, tokens: Long) {
        val mean = of(account)
        means[account] = mean + (tokens - mean) * SMOOTHING_FACTOR
    }

    private companion object {
        const val INITIAL_TOKENS = 100.0
        const val SMOOTHING_FACTOR = 0.05
    }
}
