package io.jasmineford.gateway.cost

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.log.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of [WorkPlacement].
 *
 * @property isAlwaysOn whether all services are placed by work, instead of those whose endpoints differ in speed.
 * @property log gets the decisions.
 */
class WorkPlacementSettings(val isAlwaysOn: Boolean = false, val log: EventLog = EventLog { _, _ -> })

/** An endpoint that may get a call, with its rank; the lowest [score] is the best. */
class RankedEndpoint(val state: EndpointState, val estimate: PlacementEstimate, val score: Double)

/**
 * Places calls at the endpoint with the earliest expected completion, for the services for which that is switched on.
 */
class WorkPlacement(
    private val clock: MonotonicClock,
    private val directory: EndpointDirectory,
    settings: WorkPlacementSettings,
) {
    private val log = settings.log
    internal val estimator = CallCostEstimator()
    private val switch = WorkPlacementSwitch(clock, settings.isAlwaysOn, directory::usable, ::logSwitch)
    private var loggedAt = -Duration.INFINITE

    /** Number of services that are placed by work because the speeds of their endpoints differ. */
    val switchedOnServices: Int get() = switch.switchedOn

    /** Whether calls to any service are placed by work. */
    val isOnAnywhere: Boolean get() = switch.isOnAnywhere

    /** Whether calls to [service] are placed by work. */
    fun isOn(service: String): Boolean = switch.isOn(service)

    /** Whether [isOn] said so the last time; decides nothing. */
    internal fun isOnNow(service: String): Boolean = switch.isOnNow(service)

    /** Estimate of [work] at the endpoint of [state]. */
    internal fun estimate(state: EndpointState, work: CallWork): PlacementEstimate = estimator.estimate(state, work)

    /** Expected completion of [estimate] in units of the typical call of [service]. */
    internal fun relativeCompletion(estimate: PlacementEstimate, service: String): Double =
        estimate.completionMillis / estimator.typicalMillis(service)

    /** Whether any service that got calls states the memory of its endpoints. */
    var isMemoryBounded = false
        private set

    /**
     * Whether the endpoint of [state] has memory for [work]. An endpoint may crash when its calls exceed its memory, so
     * this holds for services that are placed by counting calls, too.
     */
    fun fits(state: EndpointState, work: CallWork): Boolean {
        if (work.service.memoryTokens <= 0) return true
        isMemoryBounded = true
        return estimator.estimate(state, work).fits
    }

    /** What is left of a call of which nothing is known, in milliseconds on the reference endpoint. */
    internal fun unknownMillis(service: String): Double = estimator.typicalMillis(service) * MEAN_REST

    /**
     * The best endpoint among [candidates] for [work] that [tryTake] accepts; null when there is none.
     *
     * @param fixedCost see [rank].
     */
    fun choose(
        candidates: List<EndpointState>,
        work: CallWork,
        fixedCost: (EndpointState) -> Double,
        tryTake: (EndpointState) -> Boolean,
    ): EndpointState? {
        val ranked = rank(candidates, work, fixedCost)
        val chosen = ranked.firstOrNull { tryTake(it.state) } ?: return null
        logDecision(work, chosen, ranked)
        return chosen.state
    }

    /**
     * The endpoints among [candidates] that have memory for [work], best first.
     *
     * @param fixedCost costs of an endpoint that don't depend on the call's work, in units of a typical call.
     */
    fun rank(
        candidates: List<EndpointState>,
        work: CallWork,
        fixedCost: (EndpointState) -> Double,
    ): List<RankedEndpoint> {
        val typical = estimator.typicalMillis(work.service.name)
        return candidates
            .map { state ->
                val estimate = estimator.estimate(state, work)
                RankedEndpoint(state, estimate, estimate.completionMillis / typical + fixedCost(state))
            }
            .filter { it.estimate.fits }
            .sortedBy { it.score }
    }

    /** Logs the inputs of a decision for [chosen] among [ranked], of some decisions a second. */
    private fun logDecision(work: CallWork, chosen: RankedEndpoint, ranked: List<RankedEndpoint>) {
        val now = clock.now()
        if (now - loggedAt < LOG_PERIOD) return
        loggedAt = now
        val other = ranked.firstOrNull { it !== chosen }
        val estimate = chosen.estimate
        log.event(
            "placed-by-work",
            "route" to work.route,
            "endpoint" to chosen.state.endpoint.id,
            "candidates" to ranked.size,
            "output_tokens" to work.outputTokens.toInt(),
            "completion_ms" to estimate.completionMillis.toLong(),
            "prefill_ms" to estimate.cost.prefillMillis.toLong(),
            "decode_ms" to estimate.cost.decodeMillis.toLong(),
            "cached_tokens" to estimate.cachedTokens,
            "remaining_ms" to estimate.remainingMillis.toLong(),
            "speed_percent" to (estimate.speed * PERCENT).toInt(),
            "memory_tokens" to estimate.memoryTokens,
            "capacity_tokens" to estimate.capacityTokens,
            "other" to other?.state?.endpoint?.id,
            "other_completion_ms" to other?.estimate?.completionMillis?.toLong(),
        )
    }

    private fun logSwitch(service: String, isOn: Boolean, spread: Double) = log.event(
        "placement-switched",
        "service" to service,
        "by_work" to isOn,
        "speed_spread_percent" to (spread * PERCENT).toInt(),
    )

    private companion object {
        /** Part of a call in flight that is left on average. */
        const val MEAN_REST = 0.5

        /** Shortest time between two logged decisions. */
        val LOG_PERIOD = 500.milliseconds
        const val PERCENT = 100
    }
}
