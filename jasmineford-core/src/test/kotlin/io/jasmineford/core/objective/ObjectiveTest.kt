package io.jasmineford.core.objective

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.VirtualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

class ObjectiveTest {
    /** Guards against calls that are lost, counted twice or kept beyond a window when buckets roll over. */
    @Test
    fun `windows count the calls of their time span with an error of at most one bucket`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val clock = VirtualClock()
            val counters = CallCounters(clock)
            val times = mutableListOf<Duration>()
            repeat(400) {
                clock.advance((random.nextDouble() * random.nextInt(1, 3_000)).seconds)
                times += clock.now()
                counters.count(labels(outcome = Outcome.RESULT))
            }
            val windows = counters.snapshot("vm", defaultObjectives).windows
            for (window in windows) {
                val length = window.seconds.seconds
                val bucket = if (length <= 1.hours) 60.seconds else if (length <= 6.hours) 600.seconds else 1.hours
                val least = times.count { it > clock.now() - length + bucket }
                val most = times.count { it > clock.now() - length - bucket }
                val actual = window.counts.sumOf { it.calls }
                assertTrue(actual in least..most, "seed $seed, window $length: expected $least to $most, actual $actual")
            }
        }
    }

    /** Guards against memory that grows with the number of accounts. */
    @Test
    fun `accounts beyond the limit are counted together and no call is lost`() {
        val counters = CallCounters(VirtualClock(), labelLimit = 10)
        repeat(100) { counters.count(labels(account = "a$it")) }
        val counts = counters.snapshot("vm", defaultObjectives).windows.last().counts
        assertEquals(100, counts.sumOf { it.calls })
        assertTrue(counts.size <= 11, "expected at most 11 label sets, actual ${counts.size}")
    }

    /**
     * Guards against errors of a caller that consume the error budget, and against errors of the service that do not.
     */
    @Test
    fun `refusals for each reason are either the caller's responsibility or violate both promises`() {
        for (reason in Reason.entries) {
            val refused = labels(outcome = Outcome.REFUSED_NOT_RUN, reason = reason)
            val isOwn = reason in callerReasons
            assertEquals(!isOwn, refused.isCounted, reason.label)
            for (promise in Promise.entries) assertEquals(!isOwn, refused.violates(promise), "${reason.label} $promise")
        }
        assertTrue(labels(outcome = Outcome.OUTCOME_UNKNOWN, reason = Reason.KEEPER_LOST).violates(Promise.ANSWERED))
        assertTrue(!labels(outcome = Outcome.OUTCOME_UNKNOWN, reason = Reason.KEEPER_LOST).violates(Promise.ADMITTED))
    }

    /**
     * Guards against unbounded growth of the log, and against records of programs of the same name that are mixed up.
     */
    @Test
    fun `the decision log keeps the latest records of the most recently used programs`() {
        val log = DecisionLog("vm", wallClock = { 0 }, programLimit = 2, recordLimit = 3)
        val programs = listOf("a", "b", "c").map { ProgramId(ScopedName("o", it), "p/sub") }
        repeat(5) { log.record(programs[0], DecisionStep.PLACED, "call $it") }
        log.record(programs[1], DecisionStep.PLACED, "b")
        assertEquals(listOf("call 2", "call 3", "call 4"), log.of("o/a/p/sub").map { it.detail })
        assertEquals(4, log.of("p/sub").size)
        log.record(programs[2], DecisionStep.PLACED, "c")
        assertEquals(emptyList(), log.of("o/a/p/sub"), "expected the least recently used program to be evicted")
    }

    private fun labels(account: String = "a", outcome: Outcome = Outcome.RESULT, reason: Reason? = null) =
        CallLabels(ScopedName("o", account), "chat", "z", outcome, reason)
}
