package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How many daemons apply a phase and have no calls in flight at the old version. */
enum class FleetAgreement {
    /** A daemon that is heard does not. */
    NONE,

    /** All daemons that are heard do; others may be admitting calls. */
    HEARD,

    /** All daemons that may be admitting calls do. */
    ALL,
}

/**
 * What a coordinator knows of the fleet.
 *
 * @property tallies sums over all processes that have reported, also those that have ended.
 * @property bad number of bad responses by endpoint of the new version.
 * @property newEndpoints number of endpoints of the new version that may get calls; [oldEndpoints] of other versions.
 * @property isStoreReachable whether the latest contact with the store is recent.
 * @property agreement how many daemons apply a phase.
 */
class FleetView(
    val tallies: List<RouteTally>,
    val bad: Map<Int, Long>,
    val newEndpoints: Int,
    val oldEndpoints: Int,
    val isStoreReachable: Boolean,
    val agreement: (RolloutPhase) -> FleetAgreement,
)

/** Step to [phase] for [reason], with the [evidence] if the new version is bad. */
data class RolloutDecision(val phase: RolloutPhase, val reason: String, val evidence: RolloutEvidence? = null)

/**
 * Decides on the phases of one rollout. Any daemon can take over: what has been decided is in [rollout], which all
 * daemons exchange, and the counts are cumulative.
 */
class RolloutCoordinator(private val rollout: RolloutProgress) {
    private class Snapshot(val at: Duration, val tallies: List<RouteTally>, val bad: Map<Int, Long>)

    private val snapshots = ArrayDeque<Snapshot>()
    private var oldLostSince: Duration? = null

    /** Returns the next step at [now], null for none. */
    fun decide(view: FleetView, now: Duration): RolloutDecision? {
        record(view, now)
        val part = (now - rollout.startedAt) / rollout.order.duration
        val evidence = if (rollout.phase == RolloutPhase.ROLLBACK || isOldLost(now)) null else evidence(view, now)
        return when {
            rollout.phase == RolloutPhase.ROLLBACK -> null
            evidence != null -> RolloutDecision(RolloutPhase.ROLLBACK, "bad", evidence)
            isOldLost(now) -> closeWithoutOld(view)
            !view.isStoreReachable -> null
            part >= LAST_PART -> RolloutDecision(RolloutPhase.ROLLBACK, "deadline")
            else -> advance(view, part)
        }
    }

    /** Whether the final state is `completed` now. */
    fun isComplete(view: FleetView, now: Duration): Boolean {
        if (rollout.phase != RolloutPhase.CLOSED || !view.isStoreReachable) return false
        val part = (now - rollout.startedAt) / rollout.order.duration
        val agreement = view.agreement(RolloutPhase.CLOSED)
        val isLate = part >= COMPLETION_PART || isOldLost(now)
        return agreement == FleetAgreement.ALL || (agreement == FleetAgreement.HEARD && isLate)
    }

    private fun record(view: FleetView, now: Duration) {
        val isLost = view.oldEndpoints == 0 && view.newEndpoints > 0
        oldLostSince = if (isLost) oldLostSince ?: now else null
        val last = snapshots.lastOrNull()
        if (last != null && now - last.at < SNAPSHOT_PERIOD) return
        snapshots.addLast(Snapshot(now, view.tallies, view.bad))
        // The first one that is older than the longest window is its start.
        while (snapshots.size > 1 && now - snapshots[1].at > WINDOWS.last()) snapshots.removeFirst()
    }

    /** A registration may be missing for a moment, and a final state can't be taken back. */
    private fun isOldLost(now: Duration): Boolean = oldLostSince?.let { now - it >= LOST_TIME } ?: false

    private fun closeWithoutOld(view: FleetView): RolloutDecision? {
        val isOpen = rollout.phase < RolloutPhase.CLOSED && view.isStoreReachable
        return RolloutDecision(RolloutPhase.CLOSED, "no-old-endpoints").takeIf { isOpen }
    }

    private fun advance(view: FleetView, part: Double): RolloutDecision? = when (rollout.phase) {
        RolloutPhase.CANARY -> RolloutDecision(RolloutPhase.DRAIN, "no-sign-of-badness").takeIf { mayDrain(view, part) }
        RolloutPhase.DRAIN -> {
            val agreement = view.agreement(RolloutPhase.DRAIN)
            val isLate = part >= CLOSE_PART
            RolloutDecision(RolloutPhase.CLOSED, if (isLate) "late" else "old-version-idle")
                .takeIf { agreement == FleetAgreement.ALL || isLate }
        }
        else -> null
    }

    private fun mayDrain(view: FleetView, part: Double): Boolean {
        if (view.newEndpoints == 0 || part < DRAIN_PART) return false
        val isLate = part >= LATE_DRAIN_PART
        val old = view.tallies.filter { !it.isNew }
        val new = view.tallies.filter { it.isNew }.associateBy { it.route }
        val isEachRouteTested = old.filter { it.ended >= ACTIVE_ROUTE_CALLS }
            .all { (new[it.route]?.ended ?: 0) >= MIN_ROUTE_SAMPLES }
        val isTested = new.values.sumOf { it.ended } >= MIN_SAMPLES || old.sumOf { it.ended } < ACTIVE_ROUTE_CALLS
        // Daemons that are silent don't learn that the calls move.
        val isHeard = view.agreement(RolloutPhase.CANARY) != FleetAgreement.HEARD
        return isTested && (isLate || (isEachRouteTested && isHeard))
    }

    private fun evidence(view: FleetView, now: Duration): RolloutEvidence? {
        val isCanary = rollout.phase == RolloutPhase.CANARY
        val starts = WINDOWS.map { window -> snapshots.lastOrNull { now - it.at >= window } } + null
        return starts.distinct().firstNotNullOfOrNull { start ->
            val recent = view.tallies.since(start?.tallies.orEmpty())
            val compared = if (isCanary) recent else view.tallies
            val found = RolloutJudge.evidence(
                new = recent.filter { it.isNew }.associateBy { it.route },
                old = compared.filter { !it.isNew }.associateBy { it.route },
                isSamePeriod = isCanary,
            )
            found?.takeIf { view.newEndpoints < 2 || isAtSeveralEndpoints(view.bad, start?.bad.orEmpty()) }
        }
    }

    /** Whether more than one endpoint gave bad responses; a single one may be faulty by itself. */
    private fun isAtSeveralEndpoints(latest: Map<Int, Long>, earlier: Map<Int, Long>): Boolean {
        val bad = latest.mapValues { (endpoint, count) -> count - (earlier[endpoint] ?: 0) }.values
        val others = bad.sum() - (bad.maxOrNull() ?: 0)
        return others >= MIN_OTHER_BAD && others >= bad.sum() * MIN_OTHER_PART
    }

    private fun List<RouteTally>.since(earlier: List<RouteTally>): List<RouteTally> {
        val before = earlier.associateBy { it.route to it.isNew }
        return map { tally -> before[tally.route to tally.isNew]?.let { tally - it } ?: tally }
    }

    private companion object {
        /** Part of the order's time in which a bad version may show. */
        const val DRAIN_PART = 0.55

        /** Part after which routes without enough calls don't hold up the rollout. */
        const val LATE_DRAIN_PART = 0.7

        /** Part after which streams are not taken up at the old version any more. */
        const val CLOSE_PART = 0.8

        /** Part after which daemons that are not heard don't hold up the completion. */
        const val COMPLETION_PART = 0.9

        /** Part after which a rollout that could not be completed is rolled back, which ends no call. */
        const val LAST_PART = 0.95

        /** Periods in which the versions are compared, besides the whole time: badness may begin late. */
        val WINDOWS = listOf(3.seconds, 8.seconds)
        val SNAPSHOT_PERIOD = 400.milliseconds

        /** Time without old endpoints after which they count as lost. */
        val LOST_TIME = 1500.milliseconds
        const val ACTIVE_ROUTE_CALLS = 30L
        const val MIN_ROUTE_SAMPLES = 6L
        const val MIN_SAMPLES = 5L
        const val MIN_OTHER_BAD = 1L
        const val MIN_OTHER_PART = 0.15
    }
}
