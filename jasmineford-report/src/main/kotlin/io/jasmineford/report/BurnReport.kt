package io.jasmineford.report

import io.jasmineford.core.objective.BurnWindows
import io.jasmineford.core.objective.CallCount
import io.jasmineford.core.objective.CallLabels
import io.jasmineford.core.objective.MinuteCounts
import io.jasmineford.core.objective.Objective
import io.jasmineford.core.objective.ObjectiveSnapshot
import io.jasmineford.core.objective.Promise
import io.jasmineford.core.objective.isCounted
import io.jasmineford.core.objective.violates
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Number of calls that broke an objective for one reason within the budget's window. */
@Serializable
data class BurnCause(
    val reason: String,
    val calls: Long,
)

/**
 * State of one objective for one client account, route and availability zone.
 *
 * @property windowSeconds length of the budget's window.
 * @property counted calls that count for the objective, within the budget's window.
 * @property broken those of them that broke the objective.
 * @property remainingBudget fraction of the error budget that is left; negative when overspent.
 * @property fastBurn burn rate that both the 5-minute and the 1-hour window reach; 1 spends the budget exactly.
 * @property slowBurn burn rate that both the 30-minute and the 6-hour window reach.
 */
@Serializable
data class BurnRow(
    val account: String,
    val route: String,
    val zone: String,
    val promise: Promise,
    val target: Double,
    val windowSeconds: Long,
    val counted: Long,
    val broken: Long,
    val remainingBudget: Double,
    val fastBurn: Double,
    val slowBurn: Double,
    val causes: List<BurnCause>,
) {
    /** Whether the burn rate is high enough to page an operator. */
    val isFast: Boolean get() = fastBurn > FAST_BURN_THRESHOLD

    /** Whether the burn rate is lower, but spends the budget before its window ends. */
    val isSlow: Boolean get() = slowBurn > SLOW_BURN_THRESHOLD
}

/**
 * Error-budget burn of all objectives over all VMs.
 *
 * @property rows sorted by account, the one with the least budget left first.
 * @property unreachable operator addresses that did not respond; their calls are missing.
 */
@Serializable
data class BurnReport(
    val vms: List<String>,
    val unreachable: List<String>,
    val rows: List<BurnRow>,
    val minutes: List<MinuteCounts>,
)

/** Adds up the counters of all VMs. The objectives are taken from the first snapshot. */
fun burnReport(snapshots: List<ObjectiveSnapshot>, unreachable: List<String> = emptyList()): BurnReport {
    val windows = BurnWindows.ALL.associateWith { merged(snapshots, it) }
    val groups = windows.getValue(BurnWindows.BUDGET).filter { it.labels.isCounted }.map { it.labels.group }.distinct()
    val objectives = snapshots.firstOrNull()?.objectives.orEmpty()
    val rows = groups.flatMap { group -> objectives.map { row(group, it, windows) } }
    val worst = rows.groupBy { it.account }.mapValues { (_, own) -> own.minOf { it.remainingBudget } }
    return BurnReport(
        vms = snapshots.map { it.vm },
        unreachable = unreachable,
        rows = rows.sortedWith(compareBy({ worst.getValue(it.account) }, { it.account }, { it.remainingBudget })),
        minutes = snapshots.flatMap { it.minutes }.groupBy { it.minutesAgo }.toSortedMap(reverseOrder()).map { (age, same) ->
            MinuteCounts(age, same.sumOf { it.counted }, same.sumOf { it.broken })
        },
    )
}

private fun row(group: Group, objective: Objective, windows: Map<Duration, List<CallCount>>): BurnRow {
    val budget = windows.getValue(BurnWindows.BUDGET).filter { it.labels.group == group && it.labels.isCounted }
    val broken = budget.filter { it.labels.violates(objective.promise) }
    fun burn(window: Duration) = burnRate(windows.getValue(window).filter { it.labels.group == group }, objective)
    return BurnRow(
        account = group.account,
        route = group.route,
        zone = group.zone,
        promise = objective.promise,
        target = objective.target,
        windowSeconds = BurnWindows.BUDGET.inWholeSeconds,
        counted = budget.sumOf { it.calls },
        broken = broken.sumOf { it.calls },
        remainingBudget = 1 - burnRate(budget, objective),
        fastBurn = minOf(burn(BurnWindows.FAST_SHORT), burn(BurnWindows.FAST_LONG)),
        slowBurn = minOf(burn(BurnWindows.SLOW_SHORT), burn(BurnWindows.SLOW_LONG)),
        causes = broken.groupBy { it.labels.reason?.label ?: it.labels.outcome.label }
            .map { (reason, same) -> BurnCause(reason, same.sumOf { it.calls }) }
            .sortedByDescending { it.calls },
    )
}

/** Share of broken calls relative to the share that the objective allows. */
private fun burnRate(counts: List<CallCount>, objective: Objective): Double {
    val counted = counts.filter { it.labels.isCounted }.sumOf { it.calls }
    val broken = counts.filter { it.labels.violates(objective.promise) }.sumOf { it.calls }
    return if (counted == 0L) 0.0 else broken.toDouble() / counted / (1 - objective.target)
}

private fun merged(snapshots: List<ObjectiveSnapshot>, window: Duration): List<CallCount> = snapshots
    .flatMap { snapshot -> snapshot.windows.filter { it.seconds == window.inWholeSeconds }.flatMap { it.counts } }
    .groupBy { it.labels }
    .map { (labels, same) -> CallCount(labels, same.sumOf { it.calls }) }

private data class Group(val account: String, val route: String, val zone: String)

private val CallLabels.group get() = Group(account?.toString() ?: "none", route, zone)

/**
 * Thresholds of the multi-window, multi-burn-rate alerts of the Site Reliability Workbook, chapter 5: 2 % of a 30-day
 * budget within an hour, and 5 % within six hours.
 */
const val FAST_BURN_THRESHOLD: Double = 14.4
const val SLOW_BURN_THRESHOLD: Double = 6.0
