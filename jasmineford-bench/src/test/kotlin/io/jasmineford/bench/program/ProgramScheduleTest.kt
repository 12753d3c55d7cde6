package io.jasmineford.bench.program

import java.util.stream.LongStream
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against histories that are lost, reordered or mixed with another program's, non-idempotent calls that run
 * twice, overdrawn budgets, refusals of calls that did run, and programs that make no progress after the faults.
 * `-Dschedules=N` runs N schedules, `-Dseed=S` starts at seed S.
 */
class ProgramScheduleTest {
    @Test
    fun `order, history, budget and at-most-once execution of programs hold under any schedule of faults`() {
        val count = System.getProperty("schedules")?.toLong() ?: SCHEDULES
        val first = System.getProperty("seed")?.toLong() ?: 1
        val violations = LongStream.range(first, first + count).parallel()
            .mapToObj { seed -> ProgramSchedule(seed).run().violations }
            .filter { it.isNotEmpty() }
            .findFirst()
            .orElse(null)
        assertEquals(null, violations, "expected no violation, actual (repeat with -Dschedules=1 -Dseed=S): $violations")
    }

    private companion object {
        const val SCHEDULES = 1_000L
    }
}
