package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against a rollback because calls of about a millisecond take some more at endpoints that are new. */
class RolloutUsageTest {
    private val clock = VirtualClock()

    @Test
    fun `calls that take some milliseconds more than very short ones are not slow`() {
        assertEquals(0, slowCalls(old = 1.milliseconds, new = 8.milliseconds))
    }

    @Test
    fun `calls that take several times as long are slow`() {
        assertEquals(CALLS.toLong(), slowCalls(old = 15.milliseconds, new = 60.milliseconds))
    }

    private fun slowCalls(old: Duration, new: Duration): Long {
        val usage = RolloutUsage()
        repeat(CALLS) { usage.recordEnd(AttemptEnd("r", false, "old", AttemptResult.SUCCESS, old), clock.now()) }
        repeat(CALLS) { usage.recordEnd(AttemptEnd("r", true, "new", AttemptResult.SUCCESS, new), clock.now()) }
        return usage.all.single { it.isNew }.slow
    }

    private companion object {
        const val CALLS = 20
    }
}
