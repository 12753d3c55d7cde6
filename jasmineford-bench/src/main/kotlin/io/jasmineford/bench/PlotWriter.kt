package io.jasmineford.bench

import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.BitmapEncoder.BitmapFormat
import org.knowm.xchart.XYChart
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.nio.file.Files
import java.nio.file.Path

/** Writes [plot] of [scenario] as a PNG file into [directory] and returns the file. */
fun writePlot(directory: Path, scenario: String, plot: Plot): Path {
    System.setProperty("java.awt.headless", "true")
    Files.createDirectories(directory)
    val file = directory.resolve("$scenario-${plot.name}.png")
    BitmapEncoder.saveBitmap(chartOf(plot), file.toString(), BitmapFormat.PNG)
    return file
}

private fun chartOf(plot: Plot): XYChart {
    val chart = XYChartBuilder()
        .width(WIDTH)
        .height(HEIGHT)
        .title(plot.title)
        .xAxisTitle(plot.xLabel)
        .yAxisTitle(plot.yLabel)
        .build()
    for (series in plot.series.filter { it.x.isNotEmpty() }) {
        chart.addSeries(series.name, series.x, series.y).marker = SeriesMarkers.NONE
    }
    return chart
}

private const val WIDTH = 960
private const val HEIGHT = 540
