package io.jasmineford.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import io.jasmineford.bench.Measurement
import io.jasmineford.bench.compareRuns
import io.jasmineford.bench.parseMeasurements
import io.jasmineford.cli.EXIT_BAD_INPUT
import kotlinx.serialization.json.Json
import java.nio.file.Path
import kotlin.io.path.readText

/** Compares the JSON lines of two runs. */
internal class BenchCompareCommand : CliktCommand(name = "compare") {
    private val old by argument("OLD").path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val new by argument("NEW").path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val format by option("--format").choice("json", "table").default("table")

    override fun help(context: Context) = "Compare two runs: which measures got worse or better, and by how much."

    override fun run() {
        val rows = compareRuns(read(old), read(new))
        if (format == "json") rows.forEach { echo(Json.encodeToString(it)) } else echo(comparisonTable(rows))
    }

    private fun read(file: Path): List<Measurement> = parseMeasurements(file.readText()).getOrElse {
        throw CliktError("$file: $it", statusCode = EXIT_BAD_INPUT)
    }
}
