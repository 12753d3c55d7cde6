package io.jasmineford.core.schedule

import io.jasmineford.core.config.ScopedName

/** Mean tokens of an account's answers, which are charged when a call is dispatched and corrected when it ends. */
internal class ExpectedOutput {
    private val means = HashMap<ScopedName, Double>()

    fun of(account: ScopedName): Double = means[account] ?: INITIAL_TOKENS

    fun learn(account: ScopedName, tokens: Long) {
        val mean = of(account)
        means[account] = mean + (tokens - mean) * LEARNING_RATE
    }

    private companion object {
        const val INITIAL_TOKENS = 100.0
        const val LEARNING_RATE = 0.05
    }
}
