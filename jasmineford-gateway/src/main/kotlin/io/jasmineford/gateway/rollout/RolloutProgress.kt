package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What this daemon knows of one order, and the counts of its own calls.
 *
 * @property opened revision that identifies the order.
 * @property isExact whether the order was seen before a status was written; other daemons may know a lower [opened].
 */
class RolloutProgress internal constructor(
    order: RolloutOrder,
    opened: Long,
    private val isExact: Boolean,
    now: Duration,
) {
    /** The order as last read. */
    var order: RolloutOrder = order
        internal set

    /** Latest revision of the stored object. */
    var revision: Long = opened
        internal set
    var opened: Long = opened
        private set

    /** Latest phase that this daemon has learned. */
    var phase: RolloutPhase = RolloutPhase.CANARY
        private set

    /** Number of times that the calls were taken back after they had moved. */
    var round: Int = 0
        private set

    /** Time at which this daemon entered [phase]. */
    var phaseAt: Duration = now
        private set

    /** Whether calls go to the new version without being compared with the old one. */
    val hasMoved: Boolean get() = phase == RolloutPhase.DRAIN || phase == RolloutPhase.CLOSED

    /** Time of the order, as early as any daemon knows it. */
    var startedAt: Duration = now
        private set

    /** Time at which this daemon learned of the rollback. */
    var rolledBackAt: Duration = Duration.INFINITE
        private set

    /** Time of the latest confirmation by a coordinator. */
    var confirmedAt: Duration = -Duration.INFINITE
        private set

    /** Final state that the store confirmed, or that holds because the order was deleted; null while it is open. */
    var outcome: RolloutOutcome? = null
        private set

    /** Counts of this daemon's calls. */
    val usage = RolloutUsage()

    /** Sets the final state; a later one is ignored. */
    internal fun finish(next: RolloutOutcome, now: Duration) {
        if (outcome != null) return
        outcome = next
        if (next == RolloutOutcome.ROLLED_BACK) rolledBackAt = minOf(rolledBackAt, now)
    }

    /** Whether the coordinator's information is recent enough to send calls to the new version. */
    fun isFresh(now: Duration): Boolean = now - confirmedAt < MAX_INFORMATION_AGE

    /** Advances to [next] of [nextRound]; returns whether that is a later phase. */
    internal fun advance(next: RolloutPhase, now: Duration, nextRound: Int = round): Boolean {
        if (!isLater(next, nextRound)) return false
        phase = next
        round = maxOf(round, nextRound)
        phaseAt = now
        if (next == RolloutPhase.ROLLBACK) rolledBackAt = minOf(rolledBackAt, now)
        return true
    }

    private fun isLater(next: RolloutPhase, nextRound: Int): Boolean = when {
        phase == RolloutPhase.ROLLBACK -> false
        next == RolloutPhase.ROLLBACK -> true
        else -> nextRound > round || (nextRound == round && next > phase)
    }

    /** Records a coordinator's confirmation of the phase that held at [at]. */
    internal fun confirm(at: Duration) {
        confirmedAt = maxOf(confirmedAt, at)
    }

    /**
     * Applies [state] of another daemon, which holds as of [sentAt], null if that is not known. Returns whether the
     * phase advanced or the rollout ended.
     */
    internal fun merge(state: RolloutState, sentAt: Duration?, now: Duration): Boolean {
        if (state.to != order.to || !adopt(state.opened)) return false
        startedAt = minOf(startedAt, now - state.elapsedMillis.milliseconds)
        if (sentAt != null && state.ageMillis >= 0) confirm(sentAt - state.ageMillis.milliseconds)
        state.outcome?.let { finish(it, now) }
        return advance(state.phase, now, state.round) || outcome != null
    }

    private fun adopt(other: Long): Boolean {
        if (!isExact && other < opened) opened = other
        return other == opened
    }

    /** The state to send to other daemons. */
    internal fun state(now: Duration) = RolloutState(
        service = order.service,
        to = order.to,
        opened = opened,
        phase = phase,
        elapsedMillis = (now - startedAt).inWholeMilliseconds,
        ageMillis = if (confirmedAt.isFinite()) (now - confirmedAt).inWholeMilliseconds else -1,
        outcome = outcome,
        round = round,
    )

    private companion object {
        /** A daemon that hears nothing for this long may have missed a rollback. */
        val MAX_INFORMATION_AGE = 2.seconds
    }
}
