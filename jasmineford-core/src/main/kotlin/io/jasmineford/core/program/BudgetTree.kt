package io.jasmineford.core.program

import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ProgramBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Budget of one program tree. What was settled is part of the programs' states; what calls in flight reserved is kept
 * here.
 *
 * @property startedAt when the tree's wall time began on this VM's clock, moved back by the time that it used elsewhere.
 */
internal class BudgetTree(var startedAt: Duration) {
    private var reservedCalls = 0
    private var reservedTokens = 0L

    /** Reserves one call of [tokens]. */
    fun reserve(tokens: Long) {
        reservedCalls++
        reservedTokens += tokens
    }

    /** Ends what [reserve] began. */
    fun settle(tokens: Long) {
        reservedCalls--
        reservedTokens -= tokens
    }

    /** Why a call of [tokens] is over [budget], or null. [spent] holds the settled calls and tokens of all programs. */
    fun refusal(budget: ProgramBudget, spent: Spent, tokens: Long, now: Duration): Refusal? {
        val calls = spent.calls + reservedCalls
        val total = spent.tokens + reservedTokens + tokens
        val wallTime = now - startedAt
        return when {
            calls >= budget.calls -> Refusal(Reason.BUDGET_CALLS, "expected fewer than ${budget.calls}, actual $calls")
            total > budget.tokens -> Refusal(Reason.BUDGET_TOKENS, "expected at most ${budget.tokens}, actual $total")
            wallTime > budget.wallTimeSeconds.seconds -> Refusal(
                Reason.BUDGET_TIME,
                "expected at most ${budget.wallTimeSeconds} s, actual ${wallTime.inWholeSeconds} s",
            )

            else -> null
        }
    }
}

/** Settled calls and tokens of a tree. */
internal data class Spent(val calls: Int, val tokens: Long)
