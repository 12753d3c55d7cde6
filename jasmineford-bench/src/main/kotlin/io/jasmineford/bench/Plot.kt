package io.jasmineford.bench

/** A line of a plot; [x] and [y] have the same length. */
data class Series(
    val name: String,
    val x: List<Double>,
    val y: List<Double>,
)

/**
 * A plot of one run.
 *
 * @property name unique within the scenario, in lower case with dashes; part of the file name.
 * @property xLabel quantity and unit of the x axis.
 * @property yLabel quantity and unit of the y axis.
 */
data class Plot(
    val name: String,
    val title: String,
    val xLabel: String,
    val yLabel: String,
    val series: List<Series>,
)
