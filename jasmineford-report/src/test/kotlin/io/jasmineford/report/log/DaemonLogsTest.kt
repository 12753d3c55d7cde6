package io.jasmineford.report.log

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class DaemonLogsTest {
    private fun logs(vararg lines: String) = DaemonLogs(lines.asSequence().mapNotNull { parseLogLine(it, "a.log") })

    private fun causeOf(id: String, vararg lines: String) = checkNotNull(logs(*lines).explanationOf(id)).cause

    @Test
    fun `quoted values are parsed, and a log collector's prefix names the daemon`() {
        val line = parseLogLine("  17.2 edge-1 ts=5 event=call-failed id=x reason=\"turn not stored\" to=null", "f")
        assertEquals(
            LogLine(5, "edge-1", "call-failed", mapOf("id" to "x", "reason" to "turn not stored", "to" to "null")),
            line,
        )
        assertNull(line?.get("to"))
        assertNull(parseLogLine("Exception in thread main", "f"))
    }

    @Test
    fun `a refusal by the rate limit names the limit and the program's admission class`() {
        val line = "ts=1 event=call-refused id=x status=429 reason=OVER_ALLOTMENT account=club/35.0/36.0 standing=NEW"
        val cause = causeOf("x", line)
        assertEquals(CallEnd.REFUSED, cause.end)
        assertEquals(
            "account club exceeds its rate limit of 35.0 calls a second with a burst of 36.0; the program is new",
            cause.text,
        )
    }

    @Test
    fun `a refusal for stale keys shows when that daemon lost the store`() {
        val cause = causeOf(
            "x",
            "edge-1 ts=1 event=store-lost kind=CONFIGURATION reason=timeout",
            "edge-2 ts=2 event=store-lost kind=CONFIGURATION reason=refused",
            "edge-1 ts=9 event=call-refused id=x status=503 reason=STALE_KEYS contact_ms=4500",
        )
        assertEquals(listOf("edge-1"), cause.evidence.map { it.daemon })
    }

    @Test
    fun `a turn of another account is distinguished from one that was not completed`() {
        val refusal = "ts=9 event=call-refused id=x account=club status=404 reason=no-such-turn previous=p"
        val other = causeOf("x", "ts=1 event=call-streamed id=p account=union events=4", refusal)
        assertEquals("turn p belongs to account union", other.text)
        val partial = causeOf("x", "ts=1 event=call-failed id=p account=club reason=deadline ms=3000", refusal)
        assertEquals("turn p was not completed", partial.text)
        assertEquals("turn p is in no log", causeOf("x", refusal).text)
    }

    @Test
    fun `a failure names the endpoint whose connection broke`() {
        val cause = causeOf(
            "x",
            "ts=1 event=call-broken id=x endpoint=e1 reason=\"Connection reset\" events=2",
            "ts=1 event=call-failed id=x status=502 reason=\"Connection reset\"",
        )
        assertEquals(CallEnd.FAILED, cause.end)
        assertEquals("endpoint e1: Connection reset after 2 events", cause.text)
    }

    @Test
    fun `failed calls are listed once and calls of a program are found by its name`() {
        val logs = logs(
            "ts=2 event=call-refused id=b program=p status=429 reason=OVER_ALLOTMENT",
            "ts=1 event=call-answered id=a program=p status=200",
            "ts=3 event=call-failed id=c status=504 reason=deadline ms=400",
        )
        assertEquals(listOf("b", "c"), logs.failed)
        assertEquals(listOf("a", "b"), logs.callsOfProgram("p"))
    }

    @Test
    fun `a call without an end has no cause`() {
        assertEquals(CallCause(CallEnd.UNKNOWN, null), causeOf("x", "ts=1 event=tokens-refused id=x budget=5"))
    }
}
