package io.jasmineford.cli.quickstart

import kotlin.time.Duration

/** What the quickstart saw. [faults] is empty when all that must hold held. */
internal class QuickstartReport {
    private val turns = mutableListOf<Pair<TurnResult, Duration>>()
    private val refusals = sortedMapOf<String, Int>()
    private val questions = HashMap<String, Int>()

    val faults = mutableListOf<String>()

    /** Checks one turn: its answer must count the messages of its own program's history and repeat its own question. */
    fun add(result: TurnResult, took: Duration, question: String) {
        turns += result to took
        val asked = questions.merge(result.program, 1, Int::plus) ?: 1
        val expected = "answers message ${2 * asked - 1}: $question"
        if (!result.answer.endsWith(expected)) {
            faults += "${result.program} turn ${result.turn}: expected an answer ending in '$expected', actual '${result.answer}'"
        }
        if (result.outcome != "result") {
            faults += "${result.program} turn ${result.turn}: expected outcome result, actual ${result.outcome}"
        }
    }

    /** Counts a refusal or failure that the caller was told. */
    fun refused(reason: String) {
        refusals.merge(reason, 1, Int::plus)
    }

    /** Table for people. */
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
