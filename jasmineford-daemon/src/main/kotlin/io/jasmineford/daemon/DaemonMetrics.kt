package io.jasmineford.daemon

import com.sun.management.OperatingSystemMXBean
import io.jasmineford.core.objective.CallLabels
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path

/** Prometheus metrics of one daemon, described in docs/metrics.md. */
internal class DaemonMetrics {
    private val registry = PrometheusRegistry()
    private val calls = Counter.builder()
        .name("jasmineford_calls_total")
        .help("Calls answered, by account, route, zone, outcome and reason.")
        .labelNames("account", "route", "zone", "outcome", "reason")
        .register(registry)

    init {
        CounterWithCallback.builder()
            .name("process_cpu_seconds_total")
            .help("CPU time of the process in seconds.")
            .callback { it.call(system.processCpuTime / NANOSECONDS_PER_SECOND) }
            .register(registry)
        GaugeWithCallback.builder()
            .name("jvm_heap_used_bytes")
            .help("Heap in use, unreachable objects that were not collected yet included.")
            .callback { it.call(memory.heapMemoryUsage.used.toDouble()) }
            .register(registry)
        GaugeWithCallback.builder()
            .name("jvm_heap_committed_bytes")
            .help("Heap that the process has taken from the system.")
            .callback { it.call(memory.heapMemoryUsage.committed.toDouble()) }
            .register(registry)
        GaugeWithCallback.builder()
            .name("process_resident_memory_bytes")
            .help("Resident memory of the process; absent where the system has no /proc.")
            .callback { gauge -> residentBytes()?.let { gauge.call(it) } }
            .register(registry)
    }

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

    private fun residentBytes(): Double? {
        if (!Files.isReadable(PROCESS_STATUS)) return null
        val line = Files.readAllLines(PROCESS_STATUS).firstOrNull { it.startsWith("VmRSS:") } ?: return null
        return line.filter { it.isDigit() }.toDouble() * BYTES_PER_KIBIBYTE
    }

    private companion object {
        val PROCESS_STATUS: Path = Path.of("/proc/self/status")
        const val BYTES_PER_KIBIBYTE = 1_024
        val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        val memory = ManagementFactory.getMemoryMXBean()
        const val NANOSECONDS_PER_SECOND = 1e9
    }
}
