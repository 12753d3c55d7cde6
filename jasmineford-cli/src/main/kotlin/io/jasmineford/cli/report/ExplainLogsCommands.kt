package io.jasmineford.cli.report

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import io.jasmineford.cli.EXIT_BAD_INPUT
import io.jasmineford.report.log.CallExplanation
import io.jasmineford.report.log.DaemonLogs
import io.jasmineford.report.log.LogLine
import io.jasmineford.report.log.parseLogLine
import kotlinx.serialization.json.Json
import java.io.File
import java.time.Instant

/** Merges several daemons' log lines about one request, or about all requests of a program, and names the cause. */
internal class ExplainRequestCommand : CliktCommand(name = "request") {
    private val id by argument("ID", help = "id of a request, or name of a program")
    private val files by logFiles()
    private val format by option("--format").choice("text", "json").default("text")

    override fun help(context: Context) = "Show a request's log lines from all daemons, and why it ended as it did."

    override fun run() {
        val logs = readLogs(files)
        val explanations = listOfNotNull(logs.explanationOf(id))
            .ifEmpty { logs.callsOfProgram(id).mapNotNull(logs::explanationOf) }
        if (explanations.isEmpty()) {
            val problem = "expected log lines of $id, actual none in ${files.size} files"
            throw CliktError(problem, statusCode = EXIT_BAD_INPUT)
        }
        if (format == "json") echo(Json.encodeToString(explanations)) else explanations.forEach(::show)
    }

    private fun show(explanation: CallExplanation) {
        echo("${explanation.id} ${explanation.cause.end.name.lowercase()}: ${explanation.cause.text ?: NO_CAUSE}")
        explanation.lines.forEach { echo("  ${text(it)}") }
        if (explanation.cause.evidence.isNotEmpty()) echo("  because of")
        explanation.cause.evidence.forEach { echo("    ${text(it)}") }
    }

    private fun text(line: LogLine): String {
        val fields = line.fields.filterKeys { it != "id" }.map { "${it.key}=${it.value}" }.joinToString(" ")
        return "${Instant.ofEpochMilli(line.atMillis)} ${line.daemon} ${line.event} $fields"
    }
}

/** Counts refused and failed requests by cause. */
internal class ExplainFailuresCommand : CliktCommand(name = "failures") {
    private val files by logFiles()

    override fun help(context: Context) =
        "Count the refused and failed requests in logs by cause, with an example of each."

    override fun run() {
        val logs = readLogs(files)
        val causes = logs.failed.mapNotNull(logs::explanationOf)
            .groupBy { "${it.cause.end.name.lowercase()}: ${kindOf(it)}" }
        causes.entries.sortedByDescending { it.value.size }.forEach { (cause, explanations) ->
            echo("%6d  %s  (%s)".format(explanations.size, cause, explanations.first().id))
        }
    }

    /** The cause with every word that contains a digit replaced, since figures and names differ between requests. */
    private fun kindOf(explanation: CallExplanation) = explanation.cause.text?.replace(VARIABLE, "...") ?: NO_CAUSE

    private companion object {
        val VARIABLE = Regex("""\S*\d\S*""")
    }
}

private const val NO_CAUSE = "the logs name no cause"

private fun CliktCommand.logFiles() = argument("LOGS", help = "log files of daemons")
    .file(mustExist = true, canBeDir = false)
    .multiple(required = true)

private fun readLogs(files: List<File>): DaemonLogs = DaemonLogs(
    files.asSequence().flatMap { file -> file.readLines().mapNotNull { parseLogLine(it, file.nameWithoutExtension) } },
)
