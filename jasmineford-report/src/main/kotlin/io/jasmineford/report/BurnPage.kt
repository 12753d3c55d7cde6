package io.jasmineford.report

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.CategoryChartBuilder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.internal.chartpart.Chart
import org.knowm.xchart.style.markers.SeriesMarkers
import java.util.Base64

/** Renders [report] as a self-contained HTML page. */
fun burnPage(report: BurnReport): String = """
    |<!DOCTYPE html>
    |<html lang="en">
    |<head><meta charset="utf-8"><title>Service-level burn</title>
    |<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:4px 8px}
    |td.n{text-align:right}tr.fast{background:#f6c5c0}tr.slow{background:#fbe7b5}</style></head>
    |<body>
    |<h1>Service-level burn</h1>
    |<p>${report.vms.size} VMs: ${escape(report.vms.joinToString())}. ${missing(report)}</p>
    |${plots(report)}
    |<table><tr><th>account</th><th>route</th><th>zone</th><th>objective</th><th>target</th><th>window</th><th>calls</th>
    |<th>broken</th><th>budget left</th><th>fast burn</th><th>slow burn</th><th>causes</th></tr>
    |${report.rows.joinToString("\n") { tableRow(it) }}
    |</table>
    |<p>A burn rate of 1 spends the budget exactly. Rows above a fast burn of $FAST_BURN_THRESHOLD are red, rows above a
    |slow burn of $SLOW_BURN_THRESHOLD are yellow. Calls that their caller could not expect to succeed count for no
    |objective.</p>
    |</body></html>
""".trimMargin()

/** Lists the causes of [row] with their counts, most frequent first. */
fun causesText(row: BurnRow): String = row.causes.joinToString { "${it.reason} ${it.calls}" }

/** Formats [share] as a percentage with two decimals. */
fun percentText(share: Double): String = "%.2f %%".format(java.util.Locale.ROOT, share * PERCENT)

private fun missing(report: BurnReport): String {
    if (report.unreachable.isEmpty()) return ""
    return "<b>No response from ${escape(report.unreachable.joinToString())}; their calls are missing.</b>"
}

private fun tableRow(row: BurnRow): String {
    val mark = if (row.isFast) "fast" else if (row.isSlow) "slow" else "calm"
    val texts = listOf(row.account, row.route, row.zone, row.promise.name.lowercase()).map { "<td>${escape(it)}</td>" }
    val numbers = listOf(
        percentText(row.target),
        "${row.windowSeconds / SECONDS_AN_HOUR} h",
        row.counted.toString(),
        row.broken.toString(),
        percentText(row.remainingBudget),
        "%.1f".format(java.util.Locale.ROOT, row.fastBurn),
        "%.1f".format(java.util.Locale.ROOT, row.slowBurn),
    ).map { "<td class=\"n\">$it</td>" }
    return "<tr class=\"$mark\">${(texts + numbers).joinToString("")}<td>${escape(causesText(row))}</td></tr>"
}

private fun plots(report: BurnReport): String {
    if (report.rows.isEmpty()) return "<p>No calls yet.</p>"
    System.setProperty("java.awt.headless", "true")
    return listOf(shareOverTime(report), budgetByAccount(report)).joinToString("\n") { image(it) }
}

private fun shareOverTime(report: BurnReport): Chart<*, *> {
    val chart = XYChartBuilder().width(WIDTH).height(HEIGHT)
        .title("Calls without a result").xAxisTitle("minutes ago").yAxisTitle("share of counted calls (%)").build()
    val x = report.minutes.map { -it.minutesAgo.toDouble() }
    val y = report.minutes.map { if (it.counted == 0L) 0.0 else PERCENT * it.broken / it.counted }
    if (x.isNotEmpty()) chart.addSeries("all accounts", x, y).marker = SeriesMarkers.CIRCLE
    return chart
}

private fun budgetByAccount(report: BurnReport): Chart<*, *> {
    val chart = CategoryChartBuilder().width(WIDTH).height(HEIGHT)
        .title("Budget left, worst-served accounts").xAxisTitle("account").yAxisTitle("budget left (%)").build()
    val worst = report.rows.groupBy { it.account }.mapValues { (_, rows) -> rows.minOf { it.remainingBudget } }
        .entries.take(ACCOUNTS_SHOWN)
    chart.addSeries("least of all objectives", worst.map { it.key }, worst.map { it.value * PERCENT })
    return chart
}

private fun image(chart: Chart<*, *>): String {
    val bytes = BitmapEncoder.getBitmapBytes(chart, BitmapFormat.PNG)
    return "<img alt=\"${escape(chart.title)}\" src=\"data:image/png;base64,${Base64.getEncoder().encodeToString(bytes)}\">"
}

private fun escape(text: String): String =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")

private const val WIDTH = 620
private const val HEIGHT = 320
private const val ACCOUNTS_SHOWN = 10
private const val PERCENT = 100.0
private const val SECONDS_AN_HOUR = 3_600
