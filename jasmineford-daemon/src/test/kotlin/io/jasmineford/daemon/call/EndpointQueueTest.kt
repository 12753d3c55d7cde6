package io.jasmineford.daemon.call

import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.Deployment
import io.jasmineford.core.config.DeploymentKind
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.OrganisationConfiguration
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.endpoint.EndpointReply
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class EndpointQueueTest {
    private val reports = mutableListOf<String>()
    private val tried = mutableListOf<String>()

    private fun TestScope.queue(zonesOut: Set<String> = emptySet()): EndpointQueue {
        val clock = MonotonicClock { currentTime.milliseconds }
        val queue = EndpointQueue(clock, StandardTestDispatcher(testScheduler), DecisionLog("vm", { 0 })) { _, endpoint, _ ->
            reports += endpoint
        }
        queue.start(backgroundScope)
        queue.configurationChanged(configuration(zonesOut))
        return queue
    }

    private fun configuration(zonesOut: Set<String>): Configuration {
        val endpoints = List(3) { Endpoint("e$it", "address-$it", "zone-$it") }
        val content = OrganisationConfiguration(deployments = mapOf("d" to Deployment("d", DeploymentKind.MODEL, endpoints)))
        return Configuration(1, mapOf("o" to content), ServiceState(zonesOut = zonesOut))
    }

    /** Runs one call whose attempts all fail with [kind]. Returns the reason if it is refused an endpoint, or null. */
    private suspend fun EndpointQueue.failing(kind: FailureKind, isIdempotent: Boolean, digest: String): Reason? {
        val call = QueuedCall(0, ScopedName("o", "a"), ScopedName("o", "d"), deadline = 60.seconds)
        return withEndpoint(call, digest) { reply ->
            if (reply is EndpointReply.Refused) return@withEndpoint reply.refusal.reason
            val lease = assertIs<EndpointReply.Granted>(reply).lease
            tried += lease.endpoint.name
            lease.failed(kind, isCrash = kind == FailureKind.MAY_HAVE_RUN, isIdempotent = isIdempotent)
            null
        }
    }

    @Test
    fun `a call that may have run is not retried unless it is idempotent`() = runTest {
        queue().failing(FailureKind.MAY_HAVE_RUN, isIdempotent = false, digest = "charge")
        assertEquals(1, tried.size)
        queue().failing(FailureKind.NOT_RUN, isIdempotent = false, digest = "lookup")
        assertEquals(1 + 4, tried.size, "expected four attempts of a call that did not run")
    }

    /** Guards against a request that crashes one endpoint after the other, on this VM or on several VMs. */
    @Test
    fun `a request is quarantined after its second crash, and each crash is reported to the other VMs`() = runTest {
        val queue = queue()
        queue.failing(FailureKind.MAY_HAVE_RUN, isIdempotent = true, digest = "fatal")
        assertEquals(2, tried.size, "expected no third attempt, actual $tried")
        assertEquals(2, reports.size)
        assertEquals(Reason.QUARANTINED, queue.failing(FailureKind.MAY_HAVE_RUN, isIdempotent = true, digest = "fatal"))
        val other = queue()
        listOf("address-0", "address-1").forEach { other.recordCrash(it, "fatal") }
        assertEquals(Reason.QUARANTINED, other.failing(FailureKind.MAY_HAVE_RUN, isIdempotent = true, digest = "fatal"))
    }

    @Test
    fun `endpoints of a zone out of service get no call`() = runTest {
        val queue = queue()
        queue.configurationChanged(configuration(setOf("zone-0", "zone-1")))
        repeat(3) { queue.failing(FailureKind.MAY_HAVE_RUN, isIdempotent = false, digest = "") }
        assertEquals(setOf("e2"), tried.toSet(), "expected calls only in the zone in service, actual $tried")
    }
}
