package io.jasmineford.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.jasmineford.bench.DEFAULT_SEED
import io.jasmineford.bench.Measurement
import io.jasmineford.bench.Scenario
import io.jasmineford.bench.isWithinBound
import io.jasmineford.bench.scenarios
import io.jasmineford.bench.toLine
import io.jasmineford.bench.writePlot
import io.jasmineford.cli.EXIT_BAD_INPUT

/** The `bench` command with its subcommands. */
internal fun benchCommand(): CliktCommand = BenchCommand().subcommands(
    BenchListCommand(),
    BenchRunCommand(),
    BenchCompareCommand(),
    BenchLiveCommand(),
    BenchCapacityCommand(),
)

private class BenchCommand : CliktCommand(name = "bench") {
    override fun help(context: Context) = "Run scenarios in virtual time and compare runs."

    override fun run() = Unit
}

private class BenchListCommand : CliktCommand(name = "list") {
    override fun help(context: Context) = "List all scenarios."

    override fun run() = scenarios.forEach { echo("${it.name}\t${it.description}") }
}

private class BenchRunCommand : CliktCommand(name = "run") {
    private val names by argument("NAME").multiple()
    private val isAll by option("--all", help = "run all scenarios").flag()
    private val seed by option("--seed", help = "seed of the random number generator").long().default(DEFAULT_SEED)
    private val format by option("--format").choice("json", "table").default("json")
    private val plotDirectory by option("--plot", help = "directory for PNG plots").path(canBeFile = false)

    override fun help(context: Context) =
        "Run scenarios. The exit code is 1 when a bound is exceeded and 2 for invalid input."

    override fun run() {
        val measurements = chosen().flatMap { scenario -> run(scenario) }
        if (format == "table") echo(measurementTable(measurements))
        if (measurements.any { !it.isWithinBound }) throw ProgramResult(EXIT_BOUND_EXCEEDED)
    }

    private fun chosen(): List<Scenario> {
        if (isAll) return scenarios
        if (names.isEmpty()) throw CliktError("expected scenario names or --all, actual neither", statusCode = EXIT_BAD_INPUT)
        return names.map { name ->
            scenarios.firstOrNull { it.name == name } ?: throw CliktError(
                "expected one of ${scenarios.joinToString { it.name }}, actual $name",
                statusCode = EXIT_BAD_INPUT,
            )
        }
    }

    private fun run(scenario: Scenario): List<Measurement> {
        val result = scenario.runWithPlots(seed)
        if (format == "json") result.measurements.forEach { echo(it.toLine()) }
        plotDirectory?.let { directory ->
            result.plots.forEach { echo("plot: ${writePlot(directory, scenario.name, it)}", err = true) }
        }
        return result.measurements
    }
}

private const val EXIT_BOUND_EXCEEDED = 1
