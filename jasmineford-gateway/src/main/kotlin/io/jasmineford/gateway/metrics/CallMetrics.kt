package io.jasmineford.gateway.metrics

import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.http.ProcessResources
import io.jasmineford.gateway.http.RejectionReason
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Counters and latency histograms of calls. The label values form a fixed set, so the number of series is bounded.
 *
 * They are created for the first call or scrape, as loading the library takes a noticeable part of a daemon's start.
 * There are no exemplars: without tracing they are always empty, and sampling takes a thread and time in each call.
 */
class CallMetrics {
    /** Registrations until the metrics are created; also the lock of both, as callers may come during the start. */
    private val unregistered = ArrayList<(PrometheusRegistry) -> Unit>()
    private val lazyMeters = lazy(unregistered) {
        CallMeters().also { created -> unregistered.forEach { it(created.registry) } }
    }
    private val meters: CallMeters by lazyMeters

    /** Records that a call's actual work was [ratio] times the estimate at its placement. */
    fun workEstimated(ratio: Double) = meters.estimates.observe(ratio)

    /** Records that a call on a route of [kind] ended with [outcome] after [took]. */
    fun ended(kind: RouteKind, outcome: String, took: Duration) {
        meters.calls.labelValues(kind.name, outcome).inc()
        meters.latency.labelValues(kind.name).observe(took.toDouble(DurationUnit.SECONDS))
    }

    /** Records that a call was refused for [reason]. */
    fun refused(reason: String) = meters.refusals.labelValues(reason).inc()

    /** Records a response of an endpoint that belongs to no call in flight. */
    fun unmatchedResponse() = meters.unmatched.inc()

    /** Records that this daemon applies the phase or final state [decision] of a rollout. */
    fun rolloutDecision(decision: String) = meters.rolloutDecisions.labelValues(decision).inc()

    /** Records that a call was sent to its first endpoint at time [after] its arrival. */
    fun placed(kind: RouteKind, after: Duration) =
        meters.queueing.labelValues(kind.name).observe(after.toDouble(DurationUnit.SECONDS))

    /** Registers a gauge whose value is obtained from [read] at each scrape. */
    fun gauge(name: String, help: String, read: () -> Double) {
        register { GaugeWithCallback.builder().name(name).help(help).callback { it.call(read()) }.register(it) }
    }

    /** Registers what [resources] count: rejected callers by reason, and the memory of requests. */
    fun observe(resources: ProcessResources) {
        register { registry ->
            CounterWithCallback.builder().name("jasmineford_rejected_callers_total")
                .help("Connections that were closed, or whose request was not handled, by reason").labelNames("reason")
                .callback { counter ->
                    RejectionReason.entries.forEach { counter.call(resources.rejections.count(it).toDouble(), it.name) }
                }
                .register(registry)
        }
        gauge("jasmineford_request_bytes", "Memory of requests that are being read or answered") {
            resources.requests.heldBytes.toDouble()
        }
    }

    private fun register(action: (PrometheusRegistry) -> Unit) {
        synchronized(unregistered) {
            if (lazyMeters.isInitialized()) action(meters.registry) else unregistered.add(action)
        }
    }

    /** All metrics in the Prometheus text format. */
    fun text(): ByteArray {
        val output = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(output, meters.registry.scrape())
        return output.toByteArray()
    }
}

/** The metrics whose values are recorded, and the registry of all. */
@Suppress("SpreadOperator") // The bounds are copied only once, when the metrics are created.
private class CallMeters {
    val registry = PrometheusRegistry()
    val calls = Counter.builder().name("jasmineford_calls_total")
        .help("Calls by kind of route and outcome").labelNames("kind", "outcome").withoutExemplars().register(registry)
    val refusals = Counter.builder().name("jasmineford_refusals_total")
        .help("Calls that were refused, by reason").labelNames("reason").withoutExemplars().register(registry)
    val unmatched = Counter.builder().name("jasmineford_unmatched_responses_total")
        .help("Responses of endpoints that belong to no call in flight").withoutExemplars().register(registry)
    val rolloutDecisions = Counter.builder().name("jasmineford_rollout_decisions_total")
        .help("Phases and final states of rollouts that this daemon applied").labelNames("decision")
        .withoutExemplars().register(registry)
    val latency = Histogram.builder().name("jasmineford_call_seconds")
        .help("Time from a call's arrival to the end of its answer").labelNames("kind")
        .classicOnly().classicUpperBounds(*LATENCY_BOUNDS).withoutExemplars().register(registry)
    val queueing = Histogram.builder().name("jasmineford_call_placed_seconds")
        .help("Time from a call's arrival to its first endpoint").labelNames("kind")
        .classicOnly().classicUpperBounds(*LATENCY_BOUNDS).withoutExemplars().register(registry)

    val estimates = Histogram.builder().name("jasmineford_work_estimate_ratio")
        .help("Actual over estimated work of successful calls")
        .classicOnly().classicUpperBounds(*RATIO_BOUNDS).withoutExemplars().register(registry)

    private companion object {
        /** Seconds; the range is from a short call on an idle endpoint to the longest time limit of a call. */
        val LATENCY_BOUNDS = doubleArrayOf(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0)

        /** Around 1, an exact estimate. */
        val RATIO_BOUNDS = doubleArrayOf(0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0)
    }
}
