package io.jasmineford.cli.quickstart

import kotlin.time.Duration

/** Results of a quickstart run. */
internal class QuickstartReport {
    private val turns = mutableListOf<Pair<TurnResult, Duration>>()
    private val refusals = sortedMapOf<String, Int>()
    private val turnCounts = HashMap<String, Int>()

    /** Violated expectations, one line each; empty after a successful run. */
    val violations = mutableListOf<String>()

    /**
     * Records a turn and checks it. The engine stand-in answers with the number of messages in the prompt and the last
     * message, so the answer shows whether the history was complete and belonged to this program.
     */
    fun add(result: TurnResult, took: Duration, question: String) {
        turns += result to took
        val count = turnCounts.merge(result.program, 1, Int::plus) ?: 1
        val expected = "answers message ${2 * count - 1}: $question"
        if (!result.answer.endsWith(expected)) {
            val problem = "expected an answer ending in '$expected', actual '${result.answer}'"
            violations += "${result.program} turn ${result.turn}: $problem"
        }
        if (result.outcome != "result") {
            violations += "${result.program} turn ${result.turn}: expected outcome result, actual ${result.outcome}"
        }
    }

    /** Counts a refused or failed call by [reason]. */
    fun addRefusal(reason: String) {
        refusals.merge(reason, 1, Int::plus)
    }

    /** Renders the turns and refusals as text. */
    fun table(): String = buildString {
        appendLine("program              turn  through       latency  prompt  cached  recomputed")
        for ((turn, took) in turns) {
            val recomputed = turn.promptTokens - turn.cachedTokens
            appendLine(
                ROW.format(
                    turn.program, turn.turn, turn.vm, took.inWholeMilliseconds, turn.promptTokens, turn.cachedTokens, recomputed,
                ),
            )
        }
        append("refusals by reason: ${refusals.ifEmpty { "none" }}")
    }

    private companion object {
        const val ROW = "%-20s %4d  %-12s %5d ms  %6d  %6d  %10d"
    }
}
