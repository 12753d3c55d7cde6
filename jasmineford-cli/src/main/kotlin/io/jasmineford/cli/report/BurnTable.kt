package io.jasmineford.cli.report

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.terminal.Terminal
import io.jasmineford.report.BurnReport
import io.jasmineford.report.causesText
import io.jasmineford.report.percentText

/** Renders the error budget burn report as a table, followed by the VMs that did not answer. */
internal fun burnTable(report: BurnReport): String {
    val rows = table {
        header { row("account", "route", "zone", "objective", "target", "calls", "broken", "budget left", "fast", "slow", "causes") }
        body {
            for (it in report.rows) {
                row(
                    it.account,
                    it.route,
                    it.zone,
                    it.promise.name.lowercase(),
                    percentText(it.target),
                    it.counted,
                    it.broken,
                    percentText(it.remainingBudget),
                    "%.1f".format(it.fastBurn),
                    "%.1f".format(it.slowBurn),
                    causesText(it),
                )
            }
        }
    }
    val missing = report.unreachable.joinToString("") { "\nno answer: $it" }
    return Terminal(ansiLevel = AnsiLevel.NONE, width = TABLE_WIDTH).render(rows) + missing
}

private const val TABLE_WIDTH = 400
