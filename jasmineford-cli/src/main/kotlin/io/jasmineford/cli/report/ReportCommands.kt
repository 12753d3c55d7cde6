package io.jasmineford.cli.report

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import io.jasmineford.cli.operator.EXIT_NO_ANSWER
import io.jasmineford.cli.operator.OperatorClient
import io.jasmineford.core.objective.defaultObjectives
import io.jasmineford.report.alertRules
import io.jasmineford.report.burnPage
import io.jasmineford.report.burnReport
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlin.io.path.writeText

/** The `report` command with its subcommands. */
internal fun reportCommand(): CliktCommand = ReportCommand().subcommands(BurnCommand(), AlertsCommand())

private class ReportCommand : CliktCommand(name = "report") {
    override fun help(context: Context) = "Report from the counters of the daemons."

    override fun run() = Unit
}

private class BurnCommand : CliktCommand(name = "burn") {
    private val operator by option("--operator", help = "operator address of one daemon, host:port").required()
    private val format by option("--format").choice("table", "json", "html").default("table")
    private val output by option("--output", help = "file; standard output when absent").path(canBeDir = false)

    override fun help(context: Context) = "Error budget burn by account, route and zone over all VMs, the worst first."

    override fun run() {
        val fleet = queryFleet(operator, OperatorClient::objectives)
        if (fleet.replies.isEmpty()) throw CliktError(fleet.errors.joinToString("\n"), statusCode = EXIT_NO_ANSWER)
        val report = burnReport(fleet.replies, fleet.errors)
        val text = when (format) {
            "json" -> Json.encodeToString(report)
            "html" -> burnPage(report)
            else -> burnTable(report)
        }
        output?.writeText(text) ?: echo(text)
    }
}

private class AlertsCommand : CliktCommand(name = "alerts") {
    private val operator by option("--operator", help = "daemon whose objectives are used; the defaults when absent")

    override fun help(context: Context) = "Print Prometheus alert rules for the objectives."

    override fun run() {
        val objectives = operator?.let { address ->
            val result = runBlocking { OperatorClient().use { it.objectives(address) } }
            result.getOrExit().objectives
        }
        echo(alertRules(objectives ?: defaultObjectives))
    }
}
