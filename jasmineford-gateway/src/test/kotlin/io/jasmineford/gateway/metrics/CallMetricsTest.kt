package io.jasmineford.gateway.metrics

import io.jasmineford.gateway.config.RouteKind
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.time.Duration.Companion.milliseconds

class CallMetricsTest {
    private val metrics = CallMetrics()

    private fun assertExposed(vararg lines: String) =
        lines.forEach { assertContains(metrics.text().decodeToString().lines(), it) }

    @Test
    fun `gauges are exposed whether they are registered before the first use or after it`() {
        metrics.gauge("early_value", "Early") { 1.0 }
        metrics.refused("reason")
        metrics.gauge("late_value", "Late") { 2.0 }
        assertExposed("early_value 1.0", "late_value 2.0", "jasmineford_refusals_total{reason=\"reason\"} 1.0")
    }

    @Test
    fun `a scrape before any call exposes gauges and counters, and later calls are counted`() {
        metrics.gauge("early_value", "Early") { 1.0 }
        assertExposed("early_value 1.0", "jasmineford_unmatched_responses_total 0.0")
        metrics.ended(RouteKind.SAFE, "answered", 20.milliseconds)
        assertExposed("jasmineford_calls_total{kind=\"SAFE\",outcome=\"answered\"} 1.0")
    }
}
