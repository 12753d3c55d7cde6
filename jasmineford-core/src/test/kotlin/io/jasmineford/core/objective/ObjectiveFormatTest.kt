package io.jasmineford.core.objective

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a renamed property or constant in what daemons answer to the commands of operators. */
class ObjectiveFormatTest {
    @Test
    fun `the text of a snapshot is fixed`() {
        val labels = CallLabels(ScopedName("o", "shop"), "chat", "ub-a", Outcome.REFUSED_NOT_RUN, Reason.VM_LEAVING)
        val snapshot = ObjectiveSnapshot(
            "vm-1",
            listOf(Objective(Promise.ANSWERED, 0.5), Objective(Promise.ADMITTED, 0.25)),
            listOf(WindowCounts(300, listOf(CallCount(labels, 2)))),
            listOf(MinuteCounts(1, 4, 3)),
        )
        val text = """{"vm":"vm-1","objectives":[{"promise":"ANSWERED","target":0.5},{"promise":"ADMITTED",""" +
            """"target":0.25}],"windows":[{"seconds":300,"counts":[{"labels":{"account":{"organisation":"o",""" +
            """"name":"shop"},"route":"chat","zone":"ub-a","outcome":"REFUSED_NOT_RUN","reason":"VM_LEAVING"},""" +
            """"calls":2}]}],"minutes":[{"minutesAgo":1,"counted":4,"broken":3}]}"""
        assertEquals(text, Json.encodeToString(snapshot))
        assertEquals(snapshot, Json.decodeFromString<ObjectiveSnapshot>(text))
    }

    @Test
    fun `the text of a decision is fixed`() {
        val record = DecisionRecord("o/a/p", "vm-1", 1_700, 6, DecisionStep.PLACED, "at e1", 40)
        val text = """{"program":"o/a/p","vm":"vm-1","at":1700,"sequence":6,"step":"PLACED","detail":"at e1",""" +
            """"waitedMs":40}"""
        assertEquals(text, Json.encodeToString(record))
        assertEquals(record, Json.decodeFromString<DecisionRecord>(text))
    }

    @Test
    fun `the names of outcomes, reasons, steps and promises are fixed`() {
        val steps = "ARRIVED FORWARDED KEPT QUEUED PLACED EXPIRED RETRIED ANSWERED"
        assertEquals(steps, DecisionStep.entries.joinToString(" ") { it.name })
        assertEquals("ANSWERED ADMITTED", Promise.entries.joinToString(" ") { it.name })
        val outcomes = "RESULT/result REFUSED_NOT_RUN/refused-not-run FAILED_RUN/failed-run " +
            "OUTCOME_UNKNOWN/outcome-unknown"
        assertEquals(outcomes, Outcome.entries.joinToString(" ") { "${it.name}/${it.label}" })
        val reasons = "BAD_REQUEST MISSING_KEY UNKNOWN_KEY KEY_WITHDRAWN ROUTE_NOT_ALLOWED OTHER_ACCOUNT " +
            "UNKNOWN_ROUTE UNKNOWN_PROGRAM WRONG_TURN PROGRAM_BUSY PROGRAM_CLOSED HISTORY_MISMATCH HISTORY_TOO_LARGE " +
            "IDEMPOTENCY_KEY_MISSING IDEMPOTENCY_KEY_REUSED BUDGET_CALLS BUDGET_TOKENS BUDGET_TIME RATE_EXCEEDED " +
            "QUARANTINED DEADLINE_EXCEEDED CONFIGURATION_TOO_OLD STORE_UNAVAILABLE KEEPER_UNREACHABLE KEEPER_LOST " +
            "VM_LEAVING NO_ENDPOINT ENDPOINT_FAILED ENDPOINT_TIMEOUT INTENT_UNRESOLVED ANSWER_NOT_KEPT INTERNAL FENCED"
        assertEquals(reasons, Reason.entries.joinToString(" ") { it.name })
        assertEquals(Reason.entries.map { it.name.lowercase().replace('_', '-') }, Reason.entries.map { it.label })
    }
}
