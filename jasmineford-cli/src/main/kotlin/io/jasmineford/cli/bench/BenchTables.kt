package io.jasmineford.cli.bench

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.table.Table
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.terminal.Terminal
import io.jasmineford.bench.ComparisonRow
import io.jasmineford.bench.Measurement
import io.jasmineford.bench.isWithinBound

/** Renders the measurements of one run as a table. */
internal fun measurementTable(measurements: List<Measurement>): String = table {
    header { row("scenario", "variant", "measure", "value", "unit", "bound", "seed", "") }
    body {
        for (it in measurements) {
            val mark = if (it.isWithinBound) "" else "exceeded"
            row(it.scenario, it.variant, it.measure, short(it.value), it.unit, it.bound?.let(::short).orEmpty(), it.seed, mark)
        }
    }
}.text()

/** Renders a comparison of two runs as a table. */
internal fun comparisonTable(rows: List<ComparisonRow>): String = table {
    header { row("verdict", "scenario", "variant", "measure", "old", "new", "change", "unit", "") }
    body {
        for (it in rows) {
            val change = it.changePercent?.let { percent -> "%+.1f %%".format(percent) }.orEmpty()
            val mark = if (it.isBoundExceeded) "bound exceeded" else ""
            val verdict = it.verdict.name.lowercase()
            row(verdict, it.scenario, it.variant, it.measure, it.old.text(), it.new.text(), change, it.unit, mark)
        }
    }
}.text()

/** Renders without colours and so wide that no cell is truncated, whatever the terminal. */
private fun Table.text(): String = Terminal(ansiLevel = AnsiLevel.NONE, width = TABLE_WIDTH).render(this)

private fun Double?.text(): String = this?.let(::short).orEmpty()

private fun short(value: Double): String = "%.4g".format(value)

private const val TABLE_WIDTH = 400
