package io.jasmineford.core.call

import io.jasmineford.core.objective.callerReasons
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a reason that is missing from the documentation, or documented with another status than the code has.
 */
class ReasonPageTest {
    @Test
    fun `the documentation has one row for each reason with its status and whether it counts for objectives`() {
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
