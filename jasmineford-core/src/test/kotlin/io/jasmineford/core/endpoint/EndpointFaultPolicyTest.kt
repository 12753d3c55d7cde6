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

class EndpointFaultPolicyTest {
    private val clock = VirtualClock()
    private val endpoints = List(4) { Endpoint("e$it", "e$it", "z") }

    /** Guards against a request that crashes endpoint after endpoint, and against refusing the requests beside it. */
    @Test
    fun `a crashing request is refused after its second crash and all others complete`() {
        for (seed in 1L..300L) {
            val random = Random(seed)
            val policy = EndpointFaultPolicy(clock, random)
            val names = (1..12).map { "harmless-$it" } + "crashing"
            val done = HashSet<String>()
            var crashes = 0
            var id = 0L
            repeat(200) {
                clock.advance(3.seconds)
                val running = endpoints.associateWith { ArrayList<Pair<Long, String>>() }
                for (digest in names.filter { it !in done }.shuffled(random)) {
                    val verdict = policy.verdict(digest, endpoints) as? RequestVerdict.Run ?: continue
                    val endpoint = endpoints.filter { it.name !in verdict.excluded }.randomOrNull(random) ?: continue
                    policy.started(++id, digest, endpoint)
                    running.getValue(endpoint) += id to digest
                }
                for ((_, calls) in running) {
                    val isCrash = calls.any { it.second == "crashing" }
                    if (isCrash) crashes++
                    for ((call, digest) in calls) {
                        if (!isCrash) done += digest
                        if (isCrash) {
                            policy.failed(call, FailureKind.MAY_HAVE_RUN, FailedCall(1, true, clock.now() + 9.seconds))
                        } else {
                            policy.succeeded(call)
                        }
                    }
                }
                clock.advance(30.seconds)
            }
            assertEquals(2, crashes, "seed $seed: expected two crashes")
            assertEquals(names.toSet() - "crashing", done, "seed $seed: expected all harmless requests to complete")
        }
    }

    @Test
    fun `a suspect never runs on the last healthy endpoint`() {
        val policy = EndpointFaultPolicy(clock, Random(1))
        policy.suspects.crashed("e0", "digest", clock.now())
        for (endpoint in endpoints.drop(1)) repeat(2) { failOnce(policy, endpoint) }
        val verdict = assertIs<RequestVerdict.Run>(policy.verdict("digest", endpoints))
        assertEquals(setOf("e0"), verdict.excluded)
        assertEquals(RequestVerdict.NoEndpoint, policy.verdict("digest", endpoints.take(1)))
    }

    /** Guards against a long quarantine of suspects that two VMs ran side by side, where only one caused the crash. */
    @Test
    fun `suspects that ran side by side are quarantined only briefly`() {
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
    fun `retries stay within the budget and never repeat a non-idempotent call that may have run`() {
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
            assertEquals(null, unsafe, "expected no retry of a non-idempotent call that may have run")
        }
        assertTrue(retries in 900..1_020, "expected a tenth of 10000 first attempts plus the reserve, actual $retries")
    }

    private fun failOnce(policy: EndpointFaultPolicy, endpoint: Endpoint) {
        policy.started(1, "other", endpoint)
        policy.failed(1, FailureKind.NOT_RUN, FailedCall(1, true, clock.now() + 9.seconds))
    }
}
