package io.jasmineford.bench.capacity

import io.jasmineford.bench.Measurement
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Measures a resource as a function of a size, such as heap by number of programs.
 *
 * @property sizeName what [sizes] count.
 * @property sizes at least three sizes to measure.
 * @property designSize size at the design load, for which the fitted value is reported.
 */
class CapacityProbe(
    val name: String,
    val unit: String,
    val sizeName: String,
    val sizes: List<Int>,
    val designSize: Int,
    private val measure: (size: Int) -> Double,
) {
    /** Measures all sizes and fits a line by least squares. */
    fun run(): List<Measurement> {
        // Warm-up: JIT compilation would otherwise make the first, smallest size look the most expensive.
        measure(sizes.first())
        val points = sizes.map { it to measure(it) }
        val (slope, intercept) = fit(points)
        return points.map { (size, value) -> measurement("$sizeName=$size", value, unit) } +
            measurement("slope", slope, "$unit per $sizeName") +
            measurement("fitted at $sizeName=$designSize", intercept + slope * designSize, unit)
    }

    private fun measurement(variant: String, value: Double, unit: String) =
        Measurement("capacity", variant, name, value, unit, null, 0)
}

/** Slope and intercept of the least-squares line through [points]. */
internal fun fit(points: List<Pair<Int, Double>>): Pair<Double, Double> {
    val meanX = points.map { it.first.toDouble() }.average()
    val meanY = points.map { it.second }.average()
    val slope = points.sumOf { (it.first - meanX) * (it.second - meanY) } / points.sumOf { (it.first - meanX) * (it.first - meanX) }
    return slope to meanY - slope * meanX
}

/** CPU time of the current thread for [block], which excludes other processes on the machine. */
internal fun cpuTime(block: () -> Unit): Duration {
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    block()
    return (threads.currentThreadCpuTime - before).nanoseconds
}

/** Heap in megabytes that the result of [build] occupies: used heap with the result reachable minus without it. */
internal fun heapMegabytes(build: () -> Any): Double {
    val holder = arrayOf<Any?>(build())
    val with = heapBytes()
    holder[0] = null
    return (with - heapBytes()) / BYTES_PER_MEGABYTE
}

private fun heapBytes(): Long {
    repeat(GC_RUNS) { System.gc() }
    return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
}

/** All probes whose results docs/CAPACITY.md reports. */
val capacityProbes: List<CapacityProbe> =
    membershipProbes() + journalProbes() + programProbes() + configurationProbes() + schedulerProbes() + reportProbes()

private const val GC_RUNS = 3
private const val BYTES_PER_MEGABYTE = 1e6
