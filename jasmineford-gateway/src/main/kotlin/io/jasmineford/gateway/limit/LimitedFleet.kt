package io.jasmineford.gateway.limit

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Age of the other daemons' reports.
 *
 * @property delay age while event loops are on time.
 * @property lag additional age while they are late.
 */
data class ReportAge(val delay: Duration = Duration.ZERO, val lag: Duration = Duration.ZERO)

/** The daemons that share the rate limits, since the start of this one. */
internal class LimitedFleet(
    private val clock: MonotonicClock,
    private val unresponsiveDaemons: () -> Int,
    private val daemonCount: () -> Int,
    private val unknownUsage: (() -> UnknownUsage)?,
) {
    private val startedAt = clock.now()

    /** Level at one token a second without any calls, from which the buckets of accounts without a call begin. */
    private val idle by lazy { TokenLevel(clock, ::usage, since = startedAt) }

    /** Time since when most other daemons are heard. */
    private var heardSince: Duration? = null

    /** What is known now. */
    fun usage() = FleetUsage(daemonCount(), unresponsiveDaemons(), unknownUsage?.invoke())

    /** Follows which daemons are heard; called periodically. */
    fun onTick() {
        idle.refill(rate = 1.0, capacity = IDLE_CAPACITY)
        if (heardSince == null && idle.silentShare < MOST) heardSince = clock.now()
    }

    /**
     * Whether the other daemons' demand is not known yet. Until it is, all daemons would admit freely what each of them
     * takes for the whole fleet's.
     */
    fun isDemandUnknown(reports: ReportAge): Boolean {
        val since = heardSince ?: return usage().silentShare >= MOST
        return clock.now() - since < FIRST_DEMAND_TIME + reports.delay + reports.lag.coerceAtMost(MAX_FIRST_LAG)
    }

    /** Level of the bucket of an account that had no call since the start, when it held [initially] tokens. */
    fun tokensOf(rate: Double, initially: Double, capacity: Double): TokenLevel {
        idle.refill(rate = 1.0, capacity = IDLE_CAPACITY)
        return TokenLevel(clock, ::usage, since = startedAt).apply { beginLike(idle, rate, initially, capacity) }
    }

    private companion object {
        /** Tokens of the bucket at one token a second that nobody uses; more than usual buckets hold. */
        const val IDLE_CAPACITY = 60.0

        /** Part of the daemons that are heard soon after the start, when few of them are silent for other reasons. */
        const val MOST = 0.5

        /** The first round trips of a daemon include the starts of others. */
        val MAX_FIRST_LAG = 500.milliseconds

        /** Time in which the demand reaches daemons that hear each other without a relay and on time. */
        val FIRST_DEMAND_TIME = 300.milliseconds
    }
}
