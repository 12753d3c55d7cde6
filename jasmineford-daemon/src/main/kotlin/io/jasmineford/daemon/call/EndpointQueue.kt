package io.jasmineford.daemon.call

import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.account
import io.jasmineford.core.endpoint.EndpointFaultPolicy
import io.jasmineford.core.endpoint.FailedCall
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.endpoint.FailureVerdict
import io.jasmineford.core.endpoint.RequestVerdict
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.objective.DecisionStep
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.endpoint.EndpointLease
import io.jasmineford.daemon.endpoint.EndpointReply
import io.jasmineford.daemon.endpoint.LocalWindows
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Lets calls wait for the scheduler's decision, and tries them again where that is allowed. Scheduler, guard and windows
 * are used on the [control] thread only.
 *
 * @param records decisions for `explain`.
 * @param reportCrash tells the other VMs of a request that was in flight when its endpoint crashed.
 */
internal class EndpointQueue(
    private val clock: MonotonicClock,
    private val control: CoroutineDispatcher,
    private val records: DecisionLog,
    private val reportCrash: (deployment: String, endpoint: String, digest: String) -> Unit,
) {
    private val guard = EndpointFaultPolicy(clock, Random.Default)
    private val windows = LocalWindows()
    private var configuration = Configuration()
    private val scheduler = CallScheduler(
        clock,
        weightOf = { configuration.account(it)?.weight ?: 1.0 },
        windowOf = { minOf(windows.sizeOf(it), guard.limit(it)) },
    )
    private val waiters = HashMap<Long, CompletableDeferred<EndpointReply>>()
    private val pending = HashMap<Long, Pending>()
    private var usable: Map<ScopedName, List<Endpoint>> = emptyMap()
    private var nextId = 1L

    /** Expires waiting calls until the scope is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch {
        while (true) {
            perform(scheduler.windowsChanged() + scheduler.tick())
            delay(TICK_INTERVAL)
        }
    }

    /** Takes a new configuration; called on the control thread. An endpoint that comes back starts cold. */
    fun configurationChanged(configuration: Configuration) {
        this.configuration = configuration
        val out = configuration.serviceState.zonesOut
        val before = usable.values.flatten().map { it.address }.toSet()
        usable = configuration.organisations.flatMap { (organisation, content) ->
            content.deployments.values.map { deployment ->
                ScopedName(organisation, deployment.name) to deployment.endpoints.filter { it.zone !in out }
            }
        }.toMap()
        usable.values.flatten().filter { it.address !in before }.forEach { windows.turnedCold(it) }
        perform(scheduler.endpointsChanged(usable))
    }

    /** Takes another VM's crash report; returns whether the request is quarantined now. */
    fun crashReported(endpoint: String, digest: String): Boolean = guard.suspects.crashed(endpoint, digest, clock.now())

    /**
     * Runs [block] with an endpoint for [call], or with the reason why it can't run. When an attempt failed and is tried
     * again, the result of its block is dropped.
     *
     * @param digest digest of the request whoever sends it; empty for requests that are never suspected.
     */
    suspend fun <T> withEndpoint(call: QueuedCall, digest: String = "", block: suspend (EndpointReply) -> T): T {
        var attempts = 0
        var next = call
        while (true) {
            attempts++
            val attempt = attempt(next, digest, attempts, block)
            val lease = attempt.lease
            val wait = lease?.retryAfter ?: return attempt.result
            next = next.copy(excluded = excludedAfter(lease.endpoint, next))
            delay(wait)
        }
    }

    /** Endpoints that failed this call are tried again only when every endpoint did. */
    private suspend fun excludedAfter(failed: Endpoint, call: QueuedCall): Set<String> = withContext(control) {
        val excluded = call.excluded + failed.name
        if (usable[call.deployment].orEmpty().all { it.name in excluded }) emptySet() else excluded
    }

    private suspend fun <T> attempt(
        call: QueuedCall,
        digest: String,
        attempts: Int,
        block: suspend (EndpointReply) -> T,
    ): Attempt<T> {
        val waiter = CompletableDeferred<EndpointReply>()
        val id = withContext(control) { submit(call, digest, attempts, waiter) }
        var reply: EndpointReply? = null
        try {
            reply = waiter.await()
            val result = block(reply)
            return Attempt(result, (reply as? EndpointReply.Granted)?.lease)
        } catch (e: CancellationException) {
            withContext(NonCancellable + control) { perform(scheduler.cancelled(id)) }
            throw e
        } finally {
            withContext(NonCancellable + control) { ended(id, (reply as? EndpointReply.Granted)?.lease) }
        }
    }

    private fun submit(call: QueuedCall, digest: String, attempts: Int, waiter: CompletableDeferred<EndpointReply>): Long {
        val id = nextId++
        if (attempts == 1) guard.submitted()
        when (val verdict = guard.verdict(digest, usable[call.deployment].orEmpty())) {
            is RequestVerdict.Run -> {
                waiters[id] = waiter
                pending[id] = Pending(call, digest, attempts, clock.now())
                perform(scheduler.submit(call.copy(id = id, excluded = call.excluded + verdict.excluded)))
            }

            RequestVerdict.Quarantined -> waiter.complete(
                refused(Reason.QUARANTINED, "it was in flight at two crashes"),
            )

            RequestVerdict.NoEndpoint -> waiter.complete(
                refused(Reason.NO_ENDPOINT, "it was in flight at a crash, and no other endpoint may be risked"),
            )
        }
        return id
    }

    private fun ended(id: Long, lease: EndpointLease?) {
        waiters.remove(id)
        val call = pending.remove(id)
        if (lease != null && call != null && lease.isAnswered) {
            guard.succeeded(id)
            windows.answered(lease.endpoint, clock.now() - call.submittedAt)
        }
        guard.abandoned(id)
        perform(scheduler.finished(id, lease?.usage))
        if (lease != null) perform(scheduler.windowChanged(lease.endpoint.address))
    }

    private fun failed(id: Long, endpoint: Endpoint, kind: FailureKind, isCrash: Boolean, isIdempotent: Boolean): Duration? {
        val call = pending[id] ?: return null
        val failedCall = FailedCall(call.attempts, isIdempotent, call.call.deadline, isCrash && call.digest.isNotEmpty())
        val verdict = guard.failed(id, kind, failedCall) { crashed, digest ->
            reportCrash("${call.call.deployment}", crashed.address, digest)
        }
        if (isCrash) {
            windows.turnedCold(endpoint)
            scheduler.caches.cacheLost(endpoint)
        }
        return (verdict as? FailureVerdict.Retry)?.wait
    }

    private fun perform(decisions: List<ScheduleDecision>) {
        for (decision in decisions) {
            val reply = when (decision) {
                is ScheduleDecision.Dispatch -> granted(decision)
                is ScheduleDecision.Expire -> refused(Reason.DEADLINE_EXCEEDED, "no endpoint was free before the deadline")
            }
            recordDecision(decision)
            waiters[decision.call]?.complete(reply)
        }
    }

    private fun recordDecision(decision: ScheduleDecision) {
        val call = pending[decision.call]?.call ?: return
        val waited = (clock.now() - call.submittedAt).inWholeMilliseconds
        val (step, detail) = when (decision) {
            is ScheduleDecision.Dispatch -> DecisionStep.PLACED to
                "endpoint ${decision.endpoint.name} in ${decision.endpoint.zone}, " +
                "${decision.expectedCached} of ${call.promptTokens} prompt tokens expected in its cache, " +
                "${scheduler.waitingFor(call.deployment)} calls left in the queue of ${call.deployment}"

            is ScheduleDecision.Expire -> DecisionStep.EXPIRED to "no endpoint of ${call.deployment} was free before the deadline"
        }
        records.record(call.program, step, detail, waited)
    }

    private fun granted(decision: ScheduleDecision.Dispatch): EndpointReply {
        val id = decision.call
        guard.started(id, pending[id]?.digest.orEmpty(), decision.endpoint)
        val lease = EndpointLease(decision.endpoint) { kind, isCrash, isIdempotent ->
            withContext(NonCancellable + control) { failed(id, decision.endpoint, kind, isCrash, isIdempotent) }
        }
        return EndpointReply.Granted(lease)
    }

    private fun refused(reason: Reason, detail: String) = EndpointReply.Refused(Refusal(reason, detail))

    private class Attempt<T>(val result: T, val lease: EndpointLease?)

    private class Pending(val call: QueuedCall, val digest: String, val attempts: Int, val submittedAt: Duration)

    private companion object {
        val TICK_INTERVAL = 10.milliseconds
    }
}
