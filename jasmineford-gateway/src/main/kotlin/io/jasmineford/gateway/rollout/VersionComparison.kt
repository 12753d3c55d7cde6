package io.jasmineford.gateway.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Compares the versions of one rollout over several periods. */
internal class VersionComparison(private val rollout: RolloutProgress) {
    private class Snapshot(val at: Duration, val tallies: List<RouteTally>, val bad: Map<Int, Long>)

    private val snapshots = ArrayDeque<Snapshot>()
    private var round = rollout.round

    /** Counts at the begin of a later round; null in the first one, which is compared as a whole. */
    private var base: Snapshot? = null
    private var found: RolloutEvidence? = null
    private var suspicion: RolloutEvidence? = null

    /** Adds the counts of [view] at [now]. */
    fun record(view: FleetView, now: Duration) {
        val next = Snapshot(now, view.tallies, view.bad)
        if (rollout.round != round || (round > 0 && base == null)) {
            round = rollout.round
            base = next
            suspicion = found
            found = null
            snapshots.clear()
        }
        val last = snapshots.lastOrNull()
        if (last != null && now - last.at < SNAPSHOT_PERIOD) return
        snapshots.addLast(next)
        // The first one that is older than the longest window is its start.
        while (snapshots.size > 1 && now - snapshots[1].at > WINDOWS.last()) snapshots.removeFirst()
    }

    /** Returns the evidence in [view] at [now] that the new version is bad, null if there is none. */
    fun evidence(view: FleetView, now: Duration): RolloutEvidence? {
        val starts = WINDOWS.map { window -> snapshots.lastOrNull { now - it.at >= window } ?: base } + base
        return starts.distinct().firstNotNullOfOrNull { evidenceSince(it, view) } ?: confirmed(view, now)
    }

    private fun evidenceSince(start: Snapshot?, view: FleetView): RolloutEvidence? {
        val recent = view.tallies.since(start)
        val isMoved = rollout.hasMoved
        val evidence = RolloutJudge.evidence(
            new = recent.filter { it.isNew }.associateBy { it.route },
            old = (if (isMoved) baseline(view) else recent).filter { !it.isNew }.associateBy { it.route },
            isSamePeriod = !isMoved,
        )
        val isOfVersion = view.newEndpoints < 2 || isAtSeveralEndpoints(view.bad, start?.bad.orEmpty())
        return evidence?.takeIf { isOfVersion }?.also { if (isMoved) found = it }
    }

    /** Counts of the old version to which those since the calls have moved are compared: the latest that suffice. */
    private fun baseline(view: FleetView): List<RouteTally> = view.tallies.since(base)
        .takeIf { recent -> recent.filter { !it.isNew }.sumOf { it.ended } >= MIN_BASELINE } ?: view.tallies

    /**
     * The evidence that led to the retreat, unless the old version is bad as well right after it. It is in a burst, or
     * with a back end that fails for both versions.
     */
    private fun confirmed(view: FleetView, now: Duration): RolloutEvidence? {
        val isDue = now - rollout.phaseAt >= rollout.order.schedule.comparison
        val suspected = suspicion?.takeIf { isDue && !rollout.hasMoved } ?: return null
        val old = view.tallies.since(base).filter { !it.isNew }
        val ofRoute = old.filter { it.route == suspected.route && it.ended >= MIN_CONFIRMATION }
        val after = ofRoute.ifEmpty { old }.reduceOrNull(RouteTally::plus)
        return suspected.takeIf { after != null && after.ended >= MIN_CONFIRMATION && !isOldBad(it, after) }
    }

    private fun isOldBad(suspected: RolloutEvidence, after: RouteTally): Boolean {
        val usual = suspected.badness(suspected.old)
        val excess = suspected.badness(suspected.new) - usual
        return suspected.badness(after) - usual >= excess * MIN_COMMON_PART
    }

    private fun RolloutEvidence.badness(tally: RouteTally): Double =
        (if (test == RolloutJudge.FAILURES) tally.failed else tally.micros).toDouble() / tally.ended

    /** Whether more than one endpoint gave bad responses; a single one may be faulty by itself. */
    private fun isAtSeveralEndpoints(latest: Map<Int, Long>, earlier: Map<Int, Long>): Boolean {
        val bad = latest.mapValues { (endpoint, count) -> count - (earlier[endpoint] ?: 0) }.values
        val others = bad.sum() - (bad.maxOrNull() ?: 0)
        return others >= MIN_OTHER_BAD && others >= bad.sum() * MIN_OTHER_PART
    }

    private fun List<RouteTally>.since(start: Snapshot?): List<RouteTally> {
        val before = start?.tallies.orEmpty().associateBy { it.route to it.isNew }
        return map { tally -> before[tally.route to tally.isNew]?.let { tally - it } ?: tally }
    }

    private companion object {
        /** Periods in which the versions are compared, besides the whole time: badness may begin late. */
        val WINDOWS = listOf(3.seconds, 8.seconds)
        val SNAPSHOT_PERIOD = 400.milliseconds

        /** Responses of the old version after a retreat that are enough to tell whether it is bad as well. */
        const val MIN_CONFIRMATION = 5L

        /** Part of the new version's badness that the old one shows as well in a burst which ends in the meantime. */
        const val MIN_COMMON_PART = 0.25
        const val MIN_BASELINE = 10L
        const val MIN_OTHER_BAD = 1L
        const val MIN_OTHER_PART = 0.15
    }
}
