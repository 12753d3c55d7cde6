package io.jasmineford.core.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.time.VirtualClock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class EndpointGuardTest {
    private val clock = VirtualClock()
    private val endpoints = List(4) { Endpoint("e$it", "e$it", "z") }

    /** Guards against a request that crashes endpoint after endpoint, and against blame for requests beside it. */
    @Test
    fun `a crashing request stops after its second crash and the others run`() {
        for (seed in 1L..300L) {
            val random = Random(seed)
            val guard = EndpointGuard(clock, random)
            val names = (1..12).map { "innocent-$it" } + "killer"
            val done = HashSet<String>()
            var crashes = 0
            var id = 0L
            repeat(200) {
                clock.advance(3.seconds)
                val running = endpoints.associateWith { ArrayList<Pair<Long, String>>() }
                for (digest in names.filter { it !in done }.shuffled(random)) {
                    val verdict = guard.verdict(digest, endpoints) as? GuardVerdict.Run ?: continue
                    val endpoint = endpoints.filter { it.name !in verdict.excluded }.randomOrNull(random) ?: continue
                    guard.started(++id, digest, endpoint)
                    running.getValue(endpoint) += id to digest
                }
                for ((_, calls) in running) {
                    val isCrash = calls.any { it.second == "killer" }
                    if (isCrash) crashes++
                    for ((call, digest) in calls) {
                        if (!isCrash) done += digest
                        if (isCrash) {
                            guard.failed(call, FailureKind.MAY_HAVE_RUN, FailedCall(1, true, clock.now() + 9.seconds))
                        } else {
                            guard.succeeded(call)
                        }
                    }
                }
                clock.advance(30.seconds)
            }
            assertEquals(2, crashes, "seed $seed: expected two crashes")
            assertEquals(names.toSet() - "killer", done, "seed $seed: an innocent request did not run")
        }
    }

    @Test
    fun `a suspect never runs on the last healthy endpoint`() {
        val guard = EndpointGuard(clock, Random(1))
        guard.suspects.crashed("e0", "digest", clock.now())
        for (endpoint in endpoints.drop(1)) repeat(2) { failOnce(guard, endpoint) }
        val verdict = assertIs<GuardVerdict.Run>(guard.verdict("digest", endpoints))
        assertEquals(setOf("e0"), verdict.excluded)
        assertEquals(GuardVerdict.NoEndpoint, guard.verdict("digest", endpoints.take(1)))
    }

    /** Guards against both VMs' suspects being blamed for good when they ran side by side. */
    @Test
    fun `suspects that ran side by side are quarantined for a short time only`() {
        val suspects = CrashSuspects()
        listOf("a", "b").forEach { suspects.crashed("e0", it, 1.seconds) }
        listOf("a", "b").forEach { assertTrue(suspects.crashed("e1", it, 10.seconds)) }
        listOf("a", "b").forEach { assertEquals(SuspectVerdict.Suspect, suspects.verdict(it, 1.minutes)) }
        assertTrue(suspects.crashed("e2", "a", 2.minutes))
        assertEquals(SuspectVerdict.Quarantined, suspects.verdict("a", 30.minutes))
        assertEquals(SuspectVerdict.Suspect, suspects.verdict("b", 30.minutes))
    }

    /** Guards against retries that multiply the load, and against repeating a call that may have run. */
    @Test
    fun `retries stay within their share and never repeat a call that may have run`() {
        val policy = RetryPolicy(RetrySettings(), Random(5))
        var retries = 0
        repeat(10_000) {
            policy.firstAttempt()
            for (attempt in 1..4) {
                val wait = policy.retryAfter(attempt, FailureKind.NOT_RUN, isIdempotent = false, 1.minutes) ?: break
                assertTrue(wait <= 50.milliseconds * (1 shl (attempt - 1)))
                retries++
            }
            val unsafe = policy.retryAfter(1, FailureKind.MAY_HAVE_RUN, isIdempotent = false, 1.minutes)
            assertEquals(null, unsafe, "expected no retry of a call that may have run")
        }
        assertTrue(retries in 900..1_020, "expected a tenth of 10000 first attempts and the reserve, actual $retries")
    }

    private fun failOnce(guard: EndpointGuard, endpoint: Endpoint) {
        guard.started(1, "other", endpoint)
        guard.failed(1, FailureKind.NOT_RUN, FailedCall(1, true, clock.now() + 9.seconds))
    }
}
