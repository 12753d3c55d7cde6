package io.jasmineford.cli.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.toLine
import io.jasmineford.cli.EXIT_BAD_INPUT
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Measures daemons and stand-ins that are already running; docs/live-results.md describes how to start them. */
internal class BenchLiveCommand : CliktCommand(name = "live") {
    private val daemons by option("--daemons", help = "caller addresses, host:port,...").split(",").required()
    private val operators by option("--operators", help = "operator addresses, host:port,...").split(",").required()
    private val engines by option("--engines", help = "engine addresses, host:port,...").split(",").required()
    private val services by option("--services", help = "service addresses, host:port,...").split(",").required()
    private val key by option("--key", help = "key of a client account").required()
    private val model by option("--model", help = "route of the engines").default("drafting")
    private val service by option("--service", help = "route of the services").default("lookup")
    private val duration by option("--seconds", help = "maximum duration").int()
        .restrictTo(1..MAX_SECONDS).default(DEFAULT_SECONDS)
    private val requests by option("--requests", help = "maximum number of requests").long()
        .restrictTo(1L..MAX_REQUESTS).default(DEFAULT_REQUESTS)
    private val workers by option("--workers", help = "concurrent requests").int()
        .restrictTo(1..MAX_WORKERS).default(DEFAULT_WORKERS)
    private val format by option("--format").choice("json", "table").default("json")

    override fun help(context: Context) =
        "Put a bounded load on running daemons and stand-ins on loopback, and compare with direct requests."

    override fun run() {
        val foreign = (daemons + operators + engines + services).filterNot { it.substringBefore(':') in LOOPBACK }
        if (foreign.isNotEmpty()) throw CliktError("expected loopback addresses, actual $foreign", statusCode = EXIT_BAD_INPUT)
        val measurements = runBlocking { measure() }
        if (format == "json") measurements.forEach { echo(it.toLine()) } else echo(measurementTable(measurements))
    }

    private suspend fun measure(): List<Measurement> = HttpClient(CIO).use { http ->
        val targets = LiveTargets(daemons, engines, services, key, model, service)
        val before = operators.map { metricsOf(http, it) }
        LiveLoad(targets, workers, requests, duration.seconds).use { load ->
            val took = load.run()
            val after = operators.map { metricsOf(http, it) }
            pathMeasurements(load, took) + addedLatency(load) + resources(before, after, took)
        }
    }

    private fun pathMeasurements(load: LiveLoad, took: Duration) = load.results.flatMap { (path, result) ->
        val count = result.latency.totalCount
        val secondsPerRequest = if (count == 0L) 0.0 else took.toDouble(DurationUnit.SECONDS) / count
        listOf(
            metric(path.label, "time-a-request", secondsPerRequest, "s"),
            metric(path.label, "requests", count.toDouble(), "requests"),
            metric(path.label, "failures", result.failures.toDouble(), "requests"),
        ) + PERCENTILES.map { metric(path.label, "latency-p$it", result.latency.ms(it), "ms") }
    }

    private fun addedLatency(load: LiveLoad): List<Measurement> = PERCENTILES.flatMap { share ->
        fun latency(path: RequestPath) = load.results.getValue(path).latency.ms(share)
        val engineDirect = latency(RequestPath.ENGINE_DIRECT)
        val serviceDirect = latency(RequestPath.SERVICE_DIRECT)
        val serviceCall = latency(RequestPath.SERVICE_CALL)
        listOf(
            metric(PRODUCT_VARIANT, "engine-call-added-p$share", latency(RequestPath.ENGINE_CALL) - engineDirect, "ms"),
            metric(PRODUCT_VARIANT, "engine-turn-added-p$share", latency(RequestPath.ENGINE_TURN) - engineDirect, "ms"),
            metric(PRODUCT_VARIANT, "service-call-added-p$share", serviceCall - serviceDirect, "ms"),
        )
    }

    private fun resources(before: List<Map<String, Double>>, after: List<Map<String, Double>>, took: Duration): List<Measurement> =
        operators.indices.flatMap { index ->
            val daemon = "daemon-${index + 1}"
            val cpu = after[index].getValue(CPU) - before[index].getValue(CPU)
            val cores = cpu / took.toDouble(DurationUnit.SECONDS)
            listOf(
                metric(daemon, "cpu", cores * PERCENT, "% of a core"),
                metric(daemon, "heap-used", after[index].getValue(HEAP) / BYTES_PER_MEGABYTE, "MB"),
                metric(daemon, "resident-before", before[index].getValue(RESIDENT) / BYTES_PER_MEGABYTE, "MB"),
                metric(daemon, "resident", after[index].getValue(RESIDENT) / BYTES_PER_MEGABYTE, "MB"),
            )
        }

    private suspend fun metricsOf(http: HttpClient, operator: String): Map<String, Double> = try {
        http.get("http://$operator/metrics").bodyAsText().lines()
            .filterNot { it.startsWith("#") || '{' in it || it.isBlank() }
            .associate { it.substringBefore(' ') to it.substringAfter(' ').toDouble() }
    } catch (e: IOException) {
        throw CliktError("operator port $operator: ${e.message}", statusCode = EXIT_BAD_INPUT)
    }

    private fun metric(variant: String, measure: String, value: Double, unit: String) =
        Measurement("live", variant, measure, value, unit, bound = null, seed = 0)

    private fun org.HdrHistogram.Histogram.ms(percentile: Int): Double = getValueAtPercentile(percentile.toDouble()) / MICROSECONDS_PER_MS

    private companion object {
        val LOOPBACK = setOf("127.0.0.1", "localhost")
        val PERCENTILES = listOf(50, 95, 99)
        const val CPU = "process_cpu_seconds_total"
        const val HEAP = "jvm_heap_used_bytes"
        const val RESIDENT = "process_resident_memory_bytes"
        const val PERCENT = 100.0
        const val BYTES_PER_MEGABYTE = 1e6
        const val MICROSECONDS_PER_MS = 1_000.0
        const val MAX_SECONDS = 600
        const val DEFAULT_SECONDS = 30
        const val MAX_REQUESTS = 5_000_000L
        const val DEFAULT_REQUESTS = 200_000L
        const val MAX_WORKERS = 200
        const val DEFAULT_WORKERS = 12
    }
}
