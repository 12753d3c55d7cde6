package io.jasmineford.cli.placement

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.michaelbull.result.getOrElse
import io.jasmineford.cli.operator.EXIT_INCOMPLETE
import io.jasmineford.cli.operator.EXIT_NO_ANSWER
import io.jasmineford.cli.operator.EXIT_REFUSED
import io.jasmineford.core.placement.EndpointReport
import io.jasmineford.core.placement.PlacementOutcome
import io.jasmineford.core.placement.PlacementReport
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import java.util.Locale

/** Parent of the placement commands. */
internal class PlacementCommand : CliktCommand(name = "placement") {
    override fun help(context: Context) = "Look at the placement of calls on the users' platform."

    override fun run() = Unit
}

/** Tells where a request would be placed now; the exit code says whether it would be placed, wait or be rejected. */
internal class PlacementExplainCommand : CliktCommand(name = "explain") {
    private val metrics by option("--metrics", help = "metrics address of an entry daemon", metavar = "HOST:PORT")
        .default("127.0.0.1:9464")
    private val host by option("--host", help = "host of the request").required()
    private val path by option("--path", help = "path of the request").required()
    private val headers by option("--header", help = "header of the request, may be repeated", metavar = "NAME: VALUE")
        .multiple().check("expected NAME: VALUE") { all -> all.all { ':' in it } }
    private val format by option("--format", help = "output format").choice("table", "json").default("table")

    override fun help(context: Context) = "Tell where a request would be placed now, and why; nothing is sent."

    override fun run() {
        val pairs = headers.map { it.substringBefore(':').trim() to it.substringAfter(':').trim() }
        val report = runBlocking { fetchPlacement(metrics, host, path, pairs) }
            .getOrElse { throw CliktError(it, statusCode = EXIT_NO_ANSWER) }
        echo(if (format == "json") Json.encodeToString(report) else describe(report))
        when (report.outcome) {
            PlacementOutcome.PLACED -> Unit
            PlacementOutcome.WAITS -> throw ProgramResult(EXIT_INCOMPLETE)
            PlacementOutcome.REJECTED -> throw ProgramResult(EXIT_REFUSED)
        }
    }
}

/** [report] as a text: the decision, and a row for each endpoint. */
internal fun describe(report: PlacementReport): String {
    val target = report.endpoint?.let { " at $it" }.orEmpty()
    val reason = report.reason?.let { ": $it" }.orEmpty()
    val way = if (report.isByWork) "by work" else "by calls in flight"
    val summary = listOfNotNull(
        "${report.outcome.name.lowercase()}$target$reason",
        "route ${report.route ?: "-"}, service ${report.service ?: "-"}, $way, ${report.waitingCalls} calls wait",
        "the daemon is overloaded and may shed the call before it is placed".takeIf { report.isOverloaded },
    )
    if (report.endpoints.isEmpty()) return summary.joinToString("\n")
    val title = ROW.format(
        "ENDPOINT", "ZONE", "CALLS", "WORK_MS", "LEFT_MS", "SPEED", "MEMORY", "LOAD", "QUALITY", "ZONE_C", "AFFIN",
        "SCORE", "OBSTACLE",
    )
    return (summary + title + report.endpoints.map(::rowOf)).joinToString("\n")
}

private fun rowOf(endpoint: EndpointReport): String {
    val (work, costs) = endpoint.work to endpoint.costs
    val capacity = if (work.capacityTokens > 0) "${work.capacityTokens}" else "-"
    return ROW.format(
        endpoint.id,
        endpoint.zone,
        "${endpoint.callsInFlight}/${endpoint.slots}",
        decimal(work.estimatedMillis),
        decimal(work.remainingMillis),
        decimal(work.speed),
        "${work.usedTokens}+${work.neededTokens}/$capacity",
        decimal(costs.load),
        decimal(costs.quality),
        decimal(costs.zone),
        decimal(costs.affinity),
        decimal(costs.score),
        endpoint.obstacle ?: "-",
    )
}

private fun decimal(number: Double) = "%.2f".format(Locale.ROOT, number)

private const val ROW = "%-16s %-10s %8s %9s %9s %6s %18s %6s %7s %6s %6s %6s  %s"
