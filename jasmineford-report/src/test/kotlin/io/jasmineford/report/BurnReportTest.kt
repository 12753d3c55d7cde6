package io.jasmineford.report

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.objective.CallCounters
import io.jasmineford.core.objective.CallLabels
import io.jasmineford.core.objective.Promise
import io.jasmineford.core.objective.defaultObjectives
import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

class BurnReportTest {
    private val clock = VirtualClock()
    private val counters = listOf("vm-1", "vm-2").associateWith { CallCounters(clock) }

    /** Guards against burn that is not summed over VMs, a wrong order of accounts, and alerts on an old incident. */
    @Test
    fun `burn is summed over all VMs and ends after the incident`() {
        count("calm", Outcome.RESULT, null, calls = 10_000)
        count("<hit>", Outcome.RESULT, null, calls = 900)
        count("<hit>", Outcome.REFUSED_NOT_RUN, Reason.STORE_UNAVAILABLE, calls = 60)
        count("<hit>", Outcome.FAILED_RUN, Reason.ENDPOINT_FAILED, calls = 40)
        count("<hit>", Outcome.REFUSED_NOT_RUN, Reason.RATE_EXCEEDED, calls = 500)

        val report = report()
        val worst = report.rows.first()
        assertEquals("o/<hit>", worst.account)
        assertEquals(Promise.ANSWERED, worst.promise)
        assertEquals(2_000 to 200, worst.counted.toInt() to worst.broken.toInt())
        assertEquals(100.0, worst.fastBurn, 0.01, "expected 10 % broken calls to be 100 times the allowed 0.1 %")
        assertEquals(-99.0, worst.remainingBudget, 0.01)
        assertEquals(listOf("store-unavailable" to 120L, "endpoint-failed" to 80L), worst.causes.map { it.reason to it.calls })
        assertTrue(report.rows.filter { it.account == "o/calm" }.all { it.remainingBudget == 1.0 })

        clock.advance(20.minutes)
        count("<hit>", Outcome.RESULT, null, calls = 10)
        assertFalse(report().rows.first().isFast, "expected the short window to end the fast alert")
        clock.advance(7.hours)
        assertFalse(report().rows.first().isSlow, "expected the long window to end the slow alert")
        assertTrue(report().rows.first().remainingBudget < 0, "expected the budget to stay spent")
    }

    /** Guards against a page that loads other files, or runs markup from an account's name. */
    @Test
    fun `the page is self-contained and escapes names`() {
        count("<hit>", Outcome.REFUSED_NOT_RUN, Reason.NO_ENDPOINT, calls = 5)
        val page = burnPage(report().copy(unreachable = listOf("10.0.0.1:1 <down>")))
        assertEquals(2, Regex("<img [^>]*src=\"data:image/png;base64,").findAll(page).count())
        assertFalse(Regex("(src|href)=\"(?!data:)").containsMatchIn(page), "expected no reference to another file")
        assertFalse("<hit>" in page || "<down>" in page, "expected escaped names")
    }

    /** Guards against rules that don't match the daemons' metric, or that count failures caused by the caller. */
    @Test
    fun `alert rules cover each objective at both speeds`() {
        val rules = alertRules(defaultObjectives)
        for (name in listOf("AnsweredFast", "AnsweredSlow", "AdmittedFast", "AdmittedSlow")) {
            assertTrue("Jasmineford${name}Burn" in rules, "expected a rule $name, actual:\n$rules")
        }
        for (window in listOf("[5m]", "[60m]", "[30m]", "[360m]")) assertTrue(window in rules, window)
        assertTrue("rate-exceeded" in rules && "jasmineford_calls_total" in rules && "> 0.014400" in rules, rules)
    }

    private fun report() = burnReport(counters.map { (vm, counter) -> counter.snapshot(vm, defaultObjectives) })

    private fun count(account: String, outcome: Outcome, reason: Reason?, calls: Int) = counters.values.forEach { counter ->
        repeat(calls) { counter.count(CallLabels(ScopedName("o", account), "chat", "z", outcome, reason)) }
    }
}
