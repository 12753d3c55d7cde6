package io.jasmineford.cli.report

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import io.jasmineford.cli.EXIT_BAD_INPUT
import io.jasmineford.core.objective.DecisionRecord
import io.jasmineford.core.objective.inOrder
import kotlinx.serialization.json.Json
import java.time.Instant

/** Parent of the explain commands. */
internal class ExplainCommand : CliktCommand(name = "explain") {
    override fun help(context: Context) = "Explain why calls ran where and when they did."

    override fun run() = Unit
}

/** Shows the decisions that all VMs recorded for one program. */
internal class ExplainProgramCommand : CliktCommand(name = "program") {
    private val id by argument("ID", help = "organisation/account/name, or the name alone")
    private val operator by option("--operator", help = "operator address of one daemon, host:port").required()
    private val format by option("--format").choice("text", "json").default("text")

    override fun help(context: Context) = "Where and when each call of a program ran, waited or was refused, and why."

    override fun run() {
        val fleet = queryFleet(operator) { address -> explain(address, id) }
        fleet.errors.forEach { echo("no answer: $it", err = true) }
        val records = inOrder(fleet.replies.flatten())
        if (records.isEmpty()) {
            throw CliktError("expected a program with recorded decisions, actual none for $id", statusCode = EXIT_BAD_INPUT)
        }
        if (format == "json") echo(Json.encodeToString(records)) else records.forEach { echo(line(it)) }
    }

    private fun line(record: DecisionRecord): String {
        val waited = if (record.waitedMs > 0) " after waiting ${record.waitedMs} ms" else ""
        val step = record.step.name.lowercase().padEnd(STEP_WIDTH)
        return "${Instant.ofEpochMilli(record.at)} ${record.vm} ${record.program} $step$waited ${record.detail}"
    }

    private companion object {
        const val STEP_WIDTH = 9
    }
}
