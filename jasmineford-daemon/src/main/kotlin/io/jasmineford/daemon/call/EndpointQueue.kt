package io.jasmineford.daemon.call

import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.objective.DecisionStep
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.core.time.MonotonicClock
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlin.time.Duration.Companion.milliseconds

/** Lets calls wait for the scheduler's decision. The scheduler is used on the [control] thread only. */
internal class EndpointQueue(
    private val scheduler: CallScheduler,
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val decisions: DecisionLog,
) {
    private val waiters = HashMap<Long, CompletableDeferred<Endpoint?>>()
    private val queued = HashMap<Long, QueuedCall>()
    private var nextId = 1L

    /** Expires waiting calls until the scope is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch {
        while (true) {
            perform(scheduler.tick())
            delay(TICK_INTERVAL)
        }
    }

    /** Takes a new configuration; called on the control thread. */
    fun configurationChanged(configuration: Configuration) {
        val out = configuration.serviceState.zonesOut
        val usable = configuration.organisations.flatMap { (organisation, content) ->
            content.deployments.values.map { deployment ->
                ScopedName(organisation, deployment.name) to deployment.endpoints.filter { it.zone !in out }
            }
        }
        perform(scheduler.endpointsChanged(usable.toMap()))
    }

    /** Runs [block] with an endpoint for [call], or with null when the deadline passed first. */
    suspend fun <T> withEndpoint(call: QueuedCall, block: suspend (Endpoint?) -> T): T {
        val waiter = CompletableDeferred<Endpoint?>()
        val id = withContext(control) {
            val id = nextId++
            waiters[id] = waiter
            queued[id] = call
            perform(scheduler.submit(call.copy(id = id)))
            id
        }
        try {
            return block(waiter.await())
        } catch (e: CancellationException) {
            withContext(NonCancellable + control) { perform(scheduler.cancelled(id)) }
            throw e
        } finally {
            withContext(NonCancellable + control) {
                waiters.remove(id)
                queued.remove(id)
                perform(scheduler.finished(id))
            }
        }
    }

    private fun perform(decisions: List<ScheduleDecision>) {
        for (decision in decisions) {
            val endpoint = (decision as? ScheduleDecision.Dispatch)?.endpoint
            recordDecision(decision)
            waiters[decision.call]?.complete(endpoint)
        }
    }

    private fun recordDecision(decision: ScheduleDecision) {
        val call = queued[decision.call] ?: return
        val waited = (clock.now() - call.submittedAt).inWholeMilliseconds
        val (step, detail) = when (decision) {
            is ScheduleDecision.Dispatch -> DecisionStep.PLACED to
                "endpoint ${decision.endpoint.name} in ${decision.endpoint.zone}, " +
                "${decision.expectedCached} of ${call.promptTokens} prompt tokens expected in its cache, " +
                "${scheduler.waitingFor(call.deployment)} calls left in the queue of ${call.deployment}"

            is ScheduleDecision.Expire -> DecisionStep.EXPIRED to "no endpoint of ${call.deployment} was free before the deadline"
        }
        decisions.record(call.program, step, detail, waited)
    }

    private companion object {
        val TICK_INTERVAL = 10.milliseconds
    }
}
