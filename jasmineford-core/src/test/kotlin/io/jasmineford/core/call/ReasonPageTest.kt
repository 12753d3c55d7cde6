package io.jasmineford.core.call

import io.jasmineford.core.objective.callerReasons
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

/** Guards against a reason that callers can't look up, or a page that says something else than the code does. */
class ReasonPageTest {
    @Test
    fun `the page of reasons has one row for each reason with its status and its burn`() {
        val rows = File("../docs/reasons.md").readLines()
            .filter { it.startsWith("| `") }
            .map { line -> line.trim('|').split('|').map { it.trim() } }
            .associate { it.first().trim('`') to (it[1] to it.last()) }
        val expected = Reason.entries.associate { reason ->
            reason.label to (reason.status.toString() to if (reason in callerReasons) "no" else "yes")
        }
        assertEquals(expected, rows)
    }
}
