package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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

/** Step to [phase] in [round] for [reason], with the [evidence] if the new version may be bad. */
data class RolloutDecision(
    val phase: RolloutPhase,
    val reason: String,
    val round: Int,
    val evidence: RolloutEvidence? = null,
)

/**
 * Decides on the phases of one rollout. Any daemon can take over: what has been decided is in [rollout], which all
 * daemons exchange, and the counts are cumulative.
 */
class RolloutCoordinator(private val rollout: RolloutProgress) {
    private val comparison = VersionComparison(rollout)
    private var oldLostSince: Duration? = null

    /** Time at which the calls moved, and the responses of the new version until then. */
    private var movedFrom: Pair<Duration, Long>? = null

    /** Returns the next step at [now], null for none. */
    fun decide(view: FleetView, now: Duration): RolloutDecision? {
        record(view, now)
        if (rollout.phase == RolloutPhase.ROLLBACK) return null
        val elapsed = now - rollout.startedAt
        val evidence = if (isOldLost(now)) null else comparison.evidence(view, now)
        return when {
            evidence != null -> bad(evidence, elapsed)
            isOldLost(now) -> step(RolloutPhase.CLOSED, "no-old-endpoints")
                .takeIf { rollout.phase < RolloutPhase.CLOSED && view.isStoreReachable }
            !view.isStoreReachable -> null
            elapsed >= schedule.last -> step(RolloutPhase.ROLLBACK, "deadline")
            isHeldUp(view, elapsed) -> step(RolloutPhase.CANARY, "silent-daemon")
            else -> advance(view, now)
        }
    }

    /** Whether the final state is `completed` now. */
    fun isComplete(view: FleetView, now: Duration): Boolean {
        if (rollout.phase != RolloutPhase.CLOSED || !view.isStoreReachable) return false
        val agreement = view.agreement(RolloutPhase.CLOSED)
        val isLate = now - rollout.startedAt >= schedule.lateMove || isOldLost(now)
        return agreement == FleetAgreement.ALL || (agreement == FleetAgreement.HEARD && isLate)
    }

    private val schedule get() = rollout.order.schedule

    private fun record(view: FleetView, now: Duration) {
        val isLost = view.oldEndpoints == 0 && view.newEndpoints > 0
        oldLostSince = if (isLost) oldLostSince ?: now else null
        comparison.record(view, now)
    }

    /** A registration may be missing for a moment, and a final state can't be taken back. */
    private fun isOldLost(now: Duration): Boolean = oldLostSince?.let { now - it >= LOST_TIME } ?: false

    /**
     * Once the calls have moved there is nothing of the same period to compare with, so they go back to the old version
     * to tell a bad version from a burst in which both fail. The callers are as safe as after a rollback.
     */
    private fun bad(evidence: RolloutEvidence, elapsed: Duration): RolloutDecision {
        val mayRetreat = rollout.hasMoved && rollout.round < MAX_UNCLEAR_ROUNDS && elapsed < schedule.lastRetreat
        val phase = if (mayRetreat) RolloutPhase.CANARY else RolloutPhase.ROLLBACK
        return step(phase, if (mayRetreat) "unclear" else "bad", evidence)
    }

    /** Whether a daemon became silent after the calls have moved; they don't stay at the new version meanwhile. */
    private fun isHeldUp(view: FleetView, elapsed: Duration): Boolean = rollout.hasMoved &&
        elapsed < schedule.lateMove && view.agreement(rollout.phase) == FleetAgreement.HEARD

    /** Step to [phase]; one back to the canary begins the next round. */
    private fun step(phase: RolloutPhase, reason: String, evidence: RolloutEvidence? = null): RolloutDecision {
        val round = if (phase == RolloutPhase.CANARY) rollout.round + 1 else rollout.round
        return RolloutDecision(phase, reason, round, evidence)
    }

    private fun advance(view: FleetView, now: Duration): RolloutDecision? = when (rollout.phase) {
        RolloutPhase.CANARY -> step(RolloutPhase.DRAIN, "no-sign-of-badness").takeIf { mayDrain(view, now) }
        RolloutPhase.DRAIN -> close(view, now)
        else -> null
    }

    private fun close(view: FleetView, now: Duration): RolloutDecision? {
        val responses = view.tallies.filter { it.isNew }.sumOf { it.ended }
        val before = movedFrom?.takeIf { it.first == rollout.phaseAt }?.second ?: responses
        movedFrom = rollout.phaseAt to before
        val agreement = view.agreement(RolloutPhase.DRAIN)
        val time = now - rollout.phaseAt
        val isLate = time >= schedule.closing || agreement == FleetAgreement.HEARD
        val isObserved = responses - before >= MIN_MOVED_RESPONSES || time >= schedule.observation
        return step(RolloutPhase.CLOSED, if (isLate) "late" else "old-version-idle")
            .takeIf { isObserved && (agreement == FleetAgreement.ALL || isLate) }
    }

    private fun mayDrain(view: FleetView, now: Duration): Boolean {
        val elapsed = now - rollout.startedAt
        val isCompared = rollout.round == 0 || now - rollout.phaseAt >= schedule.comparison
        if (view.newEndpoints == 0 || elapsed < schedule.move || !isCompared) return false
        val isLate = elapsed >= schedule.lateMove
        val old = view.tallies.filter { !it.isNew }
        val new = view.tallies.filter { it.isNew }.associateBy { it.route }
        val isEachRouteTested = old.filter { it.ended >= ACTIVE_ROUTE_CALLS }
            .all { (new[it.route]?.ended ?: 0) >= MIN_ROUTE_SAMPLES }
        val isTested = new.values.sumOf { it.ended } >= MIN_SAMPLES || old.sumOf { it.ended } < ACTIVE_ROUTE_CALLS
        // Daemons that are silent don't learn that the calls move.
        val isHeard = view.agreement(RolloutPhase.CANARY) != FleetAgreement.HEARD
        return isTested && (isLate || (isEachRouteTested && isHeard))
    }

    private companion object {
        /** Rounds that may end because it is not clear whether the new version is bad. */
        const val MAX_UNCLEAR_ROUNDS = 2

        /** Time without old endpoints after which they count as lost. */
        val LOST_TIME = 1500.milliseconds
        const val ACTIVE_ROUTE_CALLS = 30L
        const val MIN_ROUTE_SAMPLES = 6L
        const val MIN_SAMPLES = 5L

        /** Responses under the load of all calls in which a version shows that fails in a quarter of them. */
        const val MIN_MOVED_RESPONSES = 40L
    }
}
