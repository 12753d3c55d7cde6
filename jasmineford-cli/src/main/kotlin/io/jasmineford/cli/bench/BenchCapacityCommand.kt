package io.jasmineford.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import io.jasmineford.bench.capacity.capacityProbes
import io.jasmineford.bench.toLine
import io.jasmineford.cli.EXIT_BAD_INPUT

/** Measures how memory, messages and CPU time grow with size; docs/CAPACITY.md holds the results. */
internal class BenchCapacityCommand : CliktCommand(name = "capacity") {
    private val names by argument("NAME", help = "probes; all when absent").multiple()
    private val format by option("--format").choice("json", "table").default("json")

    override fun help(context: Context) =
        "Measure resource use at three or more sizes and fit a slope. CPU and heap figures depend on the machine."

    override fun run() {
        val known = capacityProbes.map { it.name }
        val unknown = names - known.toSet()
        if (unknown.isNotEmpty()) throw CliktError("expected some of $known, actual $unknown", statusCode = EXIT_BAD_INPUT)
        val measurements = capacityProbes.filter { names.isEmpty() || it.name in names }.flatMap { it.run() }
        if (format == "json") measurements.forEach { echo(it.toLine()) } else echo(measurementTable(measurements))
    }
}
