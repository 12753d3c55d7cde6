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
 * Queues calls until [CallScheduler] assigns them an endpoint, and retries failed calls where [EndpointGuard] allows
 * it. Scheduler, fault policy and windows are used on the [control] thread only.
 *
 * @param decisionLog receives the decisions that `explain` shows.
 * @param reportCrash reports a request that was in flight when its endpoint crashed to the other VMs.
 */
internal class EndpointQueue(
    private val clock: MonotonicClock,
    private val control: CoroutineDispatcher,
    private val decisionLog: DecisionLog,
    private val reportCrash: (deployment: String, endpoint: String, digest: String) -> Unit,
) {
    private val faultPolicy = EndpointFaultPolicy(clock, Random.Default)
    private val windows = LocalWindows()
    private var configuration = Configuration()
    private val scheduler = CallScheduler(
        clock,
        weightOf = { configuration.account(it)?.weight ?: 1.0 },
        windowOf = { minOf(windows.sizeOf(it), faultPolicy.limit(it)) },
    )
    private val waiters = HashMap<Long, CompletableDeferred<EndpointReply>>()
    private val pending = HashMap<Long, Pending>()
    private var usableEndpoints: Map<ScopedName, List<Endpoint>> = emptyMap()
    private var nextId = 1L

    /** Dispatches and expires waiting calls until [scope] is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch {
        while (true) {
            perform(scheduler.windowsChanged() + scheduler.tick())
            delay(TICK_INTERVAL)
        }
    }

    /**
     * Applies a new configuration; called on the control thread. An endpoint that returns to service starts with the
     * cold window.
     */
    fun configurationChanged(configuration: Configuration) {
        this.configuration = configuration
        val zonesOut = configuration.serviceState.zonesOut
        val before = usableEndpoints.values.flatten().map { it.address }.toSet()
        usableEndpoints = configuration.organisations.flatMap { (organisation, content) ->
            content.deployments.values.map { deployment ->
                ScopedName(organisation, deployment.name) to deployment.endpoints.filter { it.zone !in zonesOut }
            }
        }.toMap()
        usableEndpoints.values.flatten().filter { it.address !in before }.forEach { windows.markCold(it) }
        perform(scheduler.endpointsChanged(usableEndpoints))
    }

    /** Records another VM's crash report; returns whether the request is now quarantined. */
    fun recordCrash(endpoint: String, digest: String): Boolean =
        faultPolicy.suspects.crashed(endpoint, digest, clock.now())

    /**
     * Runs [block] with an endpoint for [call], or with the refusal if it can't run. When an attempt fails and is
     * retried, the result of its block is discarded.
     *
     * @param digest identifies equal requests of all callers, for the quarantine of requests that crash endpoints;
     *   empty for requests that are never quarantined.
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

    /** Endpoints to avoid in the next attempt; none once every endpoint has failed this call. */
    private suspend fun excludedAfter(failed: Endpoint, call: QueuedCall): Set<String> = withContext(control) {
        val excluded = call.excluded + failed.name
        if (usableEndpoints[call.deployment].orEmpty().all { it.name in excluded }) emptySet() else excluded
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
            withContext(NonCancellable + control) { release(id, (reply as? EndpointReply.Granted)?.lease) }
        }
    }

    private fun submit(call: QueuedCall, digest: String, attempts: Int, waiter: CompletableDeferred<EndpointReply>): Long {
        val id = nextId++
        if (attempts == 1) faultPolicy.submitted()
        when (val verdict = faultPolicy.verdict(digest, usableEndpoints[call.deployment].orEmpty())) {
            is RequestVerdict.Run -> {
                waiters[id] = waiter
                pending[id] = Pending(call, digest, attempts, clock.now())
                perform(scheduler.submit(call.copy(id = id, excluded = call.excluded + verdict.excluded)))
            }

            RequestVerdict.Quarantined -> waiter.complete(
                refused(Reason.QUARANTINED, "the request was in flight at two endpoint crashes"),
            )

            RequestVerdict.NoEndpoint -> waiter.complete(
                refused(Reason.NO_ENDPOINT, "the request was in flight at a crash; no other endpoint may run it"),
            )
        }
        return id
    }

    private fun release(id: Long, lease: EndpointLease?) {
        waiters.remove(id)
        val call = pending.remove(id)
        if (lease != null && call != null && lease.isAnswered) {
            faultPolicy.succeeded(id)
            windows.answered(lease.endpoint, clock.now() - call.submittedAt)
        }
        faultPolicy.abandoned(id)
        perform(scheduler.finished(id, lease?.usage))
        if (lease != null) perform(scheduler.windowChanged(lease.endpoint.address))
    }

    private fun failed(id: Long, endpoint: Endpoint, kind: FailureKind, isCrash: Boolean, isIdempotent: Boolean): Duration? {
        val call = pending[id] ?: return null
        val failedCall = FailedCall(call.attempts, isIdempotent, call.call.deadline, isCrash && call.digest.isNotEmpty())
        val verdict = faultPolicy.failed(id, kind, failedCall) { crashed, digest ->
            reportCrash("${call.call.deployment}", crashed.address, digest)
        }
        if (isCrash) {
            windows.markCold(endpoint)
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
        decisionLog.record(call.program, step, detail, waited)
    }

    private fun granted(decision: ScheduleDecision.Dispatch): EndpointReply {
        val id = decision.call
        faultPolicy.started(id, pending[id]?.digest.orEmpty(), decision.endpoint)
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
