package io.jasmineford.core.program

import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ProgramBudget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Budget reservations of calls in flight in one program tree. Settled calls and tokens are part of the programs'
 * states.
 *
 * @property startedAt start of the tree's wall time on this VM's clock, moved back by the time used on previous owners.
 */
internal class TreeBudget(var startedAt: Duration) {
    private var reservedCalls = 0
    private var reservedTokens = 0L

    /** Reserves one call with [tokens]. */
    fun reserve(tokens: Long) {
        reservedCalls++
        reservedTokens += tokens
    }

    /** Releases what [reserve] reserved for one call. */
    fun settle(tokens: Long) {
        reservedCalls--
        reservedTokens -= tokens
    }

    /** Reason why a call with [tokens] exceeds [budget], or null. [settled] is the settled usage of the whole tree. */
    fun refusal(budget: ProgramBudget, settled: SettledUsage, tokens: Long, now: Duration): Refusal? {
        val calls = settled.calls + reservedCalls
        val total = settled.tokens + reservedTokens + tokens
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

/** Settled calls and tokens of a program tree. */
internal data class SettledUsage(val calls: Int, val tokens: Long)
