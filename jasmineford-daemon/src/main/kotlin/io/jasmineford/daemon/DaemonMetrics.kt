package io.jasmineford.daemon

import io.jasmineford.core.objective.CallLabels
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Prometheus metrics of one daemon. */
internal class DaemonMetrics {
    private val registry = PrometheusRegistry()
    private val calls = Counter.builder()
        .name("jasmineford_calls_total")
        .help("Calls answered, by account, route, zone, outcome and reason.")
        .labelNames("account", "route", "zone", "outcome", "reason")
        .register(registry)

    /** Counts one answered call. */
    fun answered(labels: CallLabels) {
        val account = labels.account?.toString() ?: "none"
        val reason = labels.reason?.label ?: "none"
        calls.labelValues(account, labels.route, labels.zone, labels.outcome.label, reason).inc()
    }

    /** All metrics in the Prometheus text format. */
    fun exposition(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.builder().build().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }
}
