package io.jasmineford.bench.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.endpoint.AnswerSample
import io.jasmineford.core.endpoint.EndpointFaultPolicy
import io.jasmineford.core.endpoint.EndpointWindow
import io.jasmineford.core.endpoint.FailedCall
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.endpoint.FailureVerdict
import io.jasmineford.core.endpoint.RequestVerdict
import io.jasmineford.core.endpoint.WindowSettings
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CacheDecision
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.core.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration

/** A scheduler under test on endpoints that fail: the product or a baseline. */
interface FaultVariant {
    /** Submits [call] with the request [digest] and returns decisions; [ScheduleDecision.Expire] refuses the call. */
    fun submit(call: QueuedCall, digest: String): List<ScheduleDecision>

    /** Handles the answer to call [id] and returns decisions. */
    fun succeeded(id: Long, usage: Usage, sample: AnswerSample): List<ScheduleDecision>

    /** Handles the failure of call [id] at its endpoint and returns whether to retry it, and decisions. */
    fun failed(id: Long, kind: FailureKind, call: FailedCall): Pair<FailureVerdict, List<ScheduleDecision>>

    /** Returns decisions that are due to the passage of time. */
    fun tick(): List<ScheduleDecision> = emptyList()

    /** Replaces the endpoints in service; [leaving] ones will stop soon and [returned] ones are in service again. */
    fun inService(endpoints: List<Endpoint>, leaving: List<Endpoint>, returned: List<Endpoint>): List<CacheDecision> =
        emptyList()
}

/** The product: scheduler, adaptive concurrency windows and endpoint fault policy of one VM. */
class GuardedVariant(
    private val clock: MonotonicClock,
    random: Random,
    private val endpoints: List<Endpoint>,
) : FaultVariant {
    private val faultPolicy = EndpointFaultPolicy(clock, random)
    private val windows = endpoints.associate { it.address to EndpointWindow(WindowSettings(), it.window, startsCold = false) }
    private val scheduler = CallScheduler(clock, windowOf = ::windowOf)
    private val running = HashMap<Long, Endpoint>()
    private val digests = HashMap<Long, String>()
    private var inService = endpoints
    private val pending = mutableListOf<ScheduleDecision>()

    init {
        scheduler.endpointsChanged(mapOf(DEPLOYMENT to endpoints))
    }

    override fun submit(call: QueuedCall, digest: String): List<ScheduleDecision> {
        faultPolicy.submitted()
        val verdict = faultPolicy.verdict(digest, inService) as? RequestVerdict.Run
            ?: return listOf(ScheduleDecision.Expire(call.id))
        digests[call.id] = digest
        return started(scheduler.submit(call.copy(excluded = verdict.excluded)))
    }

    override fun succeeded(id: Long, usage: Usage, sample: AnswerSample): List<ScheduleDecision> {
        val endpoint = running.remove(id) ?: return emptyList()
        faultPolicy.succeeded(id)
        windows.getValue(endpoint.address).answered(sample)
        return started(scheduler.finished(id, usage) + scheduler.windowChanged(endpoint.address))
    }

    override fun failed(id: Long, kind: FailureKind, call: FailedCall): Pair<FailureVerdict, List<ScheduleDecision>> {
        val endpoint = running.remove(id) ?: return FailureVerdict.GiveUp to emptyList()
        val verdict = faultPolicy.failed(id, kind, call)
        if (call.isCrash) {
            windows.getValue(endpoint.address).resetToCold()
            scheduler.caches.cacheLost(endpoint)
        }
        return verdict to started(scheduler.windowChanged(endpoint.address) + scheduler.finished(id))
    }

    override fun tick(): List<ScheduleDecision> {
        val changed = pending.toList()
        pending.clear()
        return changed + started(scheduler.tick() + scheduler.windowsChanged())
    }

    override fun inService(
        endpoints: List<Endpoint>,
        leaving: List<Endpoint>,
        returned: List<Endpoint>,
    ): List<CacheDecision> {
        inService = endpoints
        returned.forEach {
            windows.getValue(it.address).resetToCold()
            scheduler.caches.cacheLost(it)
        }
        val moves = scheduler.caches.evacuate(leaving)
        pending += started(scheduler.endpointsChanged(mapOf(DEPLOYMENT to endpoints)))
        return moves
    }

    /** Handles the completion of a cache export. */
    fun moved(move: CacheDecision.Export, tokens: Long) = scheduler.caches.cacheExported(move.program, move.to, tokens)

    private fun windowOf(endpoint: Endpoint) =
        minOf(windows.getValue(endpoint.address).size, faultPolicy.limit(endpoint))

    private fun started(decisions: List<ScheduleDecision>): List<ScheduleDecision> {
        for (decision in decisions.filterIsInstance<ScheduleDecision.Dispatch>()) {
            running[decision.call] = decision.endpoint
            faultPolicy.started(decision.call, digests.getValue(decision.call), decision.endpoint)
        }
        return decisions
    }
}

/** Baseline: least loaded endpoint in service, with up to three immediate retries and no record of failures. */
class NaiveRetryVariant(private val clock: MonotonicClock, private var endpoints: List<Endpoint>) : FaultVariant {
    private val inFlight = HashMap<String, Int>()
    private val running = HashMap<Long, Endpoint>()

    override fun submit(call: QueuedCall, digest: String): List<ScheduleDecision> {
        val endpoint = endpoints.minBy { inFlight[it.name] ?: 0 }
        inFlight.merge(endpoint.name, 1, Int::plus)
        running[call.id] = endpoint
        return listOf(ScheduleDecision.Dispatch(call.id, endpoint))
    }

    override fun succeeded(id: Long, usage: Usage, sample: AnswerSample): List<ScheduleDecision> {
        ended(id)
        return emptyList()
    }

    override fun failed(id: Long, kind: FailureKind, call: FailedCall): Pair<FailureVerdict, List<ScheduleDecision>> {
        ended(id)
        val isLast = call.attempts > NAIVE_RETRIES || clock.now() >= call.deadline
        return (if (isLast) FailureVerdict.GiveUp else FailureVerdict.Retry(Duration.ZERO)) to emptyList()
    }

    override fun inService(
        endpoints: List<Endpoint>,
        leaving: List<Endpoint>,
        returned: List<Endpoint>,
    ): List<CacheDecision> {
        this.endpoints = endpoints
        return emptyList()
    }

    private fun ended(id: Long) {
        running.remove(id)?.let { inFlight.merge(it.name, -1, Int::plus) }
    }

    private companion object {
        const val NAIVE_RETRIES = 3
    }
}
