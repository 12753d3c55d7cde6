package io.jasmineford.bench.ownership

import io.jasmineford.bench.Measurement
import io.jasmineford.bench.PRODUCT_VARIANT
import io.jasmineford.bench.Scenario
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.lease.settleTime
import io.jasmineford.core.lease.takeoverWait
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Time without a shard owner, and store writes, when a VM is killed, restarted or stopped as planned. */
internal val ownershipScenarios: List<Scenario> = listOf(
    Scenario("ownership-takeover", "Kill, restart and planned stop of one of 6 entry VMs.") { seed ->
        val random = Random(seed)
        val settings = MembershipSettings()
        val kills = List(RUNS) { change(settings, random) { vm -> vm.isRunning = false } }
        val restarts = List(RUNS) { change(settings, random) { vm -> vms[vm.index] = newProcess(vm.index) } }
        val stops = List(RUNS) { change(settings, random) { vm -> vm.membership.setLeaving(true) } }
        // A read may begin just before the wait is over, so two read intervals and time for two polls are added.
        val bound = settings.takeoverWait + settings.listEvery * 2 + 1.seconds
        listOf(
            measure("takeover-after-kill", kills.maxOf { it.gap }.toDouble(DurationUnit.SECONDS), "s", bound, seed),
            measure("takeover-after-restart", restarts.maxOf { it.gap }.toDouble(DurationUnit.SECONDS), "s", bound, seed),
            measure("gap-at-planned-stop", stops.maxOf { it.gap }.toDouble(DurationUnit.SECONDS), "s", null, seed),
            measure("writes-per-kill", kills.map { it.writes }.average(), "writes", null, seed),
            measure("writes-per-restart", restarts.map { it.writes }.average(), "writes", null, seed),
            measure("writes-per-planned-stop", stops.map { it.writes }.average(), "writes", null, seed),
        )
    },
)

/**
 * Cost of one change of membership.
 *
 * @property gap time until every shard has an owner again.
 * @property writes store writes beyond lease renewals.
 */
private class MembershipChange(val gap: Duration, val writes: Double)

private fun change(
    settings: MembershipSettings,
    random: Random,
    event: VirtualFleet.(VirtualVm) -> Unit,
): MembershipChange {
    val fleet = VirtualFleet(VMS, settings)
    fleet.runFor(settings.settleTime + random.nextInt(MAX_PHASE_MS).milliseconds)
    val before = fleet.store.counts.writes
    val leaseWritesBefore = fleet.leaseWriteCount()
    val startedAt = fleet.time
    fleet.event(fleet.vms.random(random))
    var ownedAt = startedAt
    while (fleet.time < startedAt + settings.settleTime * 2) {
        fleet.runFor(POLL)
        if (fleet.ownerlessShards() > 0) ownedAt = fleet.time + POLL
    }
    val writes = fleet.store.counts.writes - before - (fleet.leaseWriteCount() - leaseWritesBefore)
    return MembershipChange(ownedAt - startedAt, writes.toDouble())
}

private fun VirtualFleet.runFor(length: Duration) {
    val end = time + length
    while (time < end) {
        advance(POLL)
        poll()
    }
}

private fun measure(name: String, value: Double, unit: String, bound: Duration?, seed: Long) =
    Measurement("ownership-takeover", PRODUCT_VARIANT, name, value, unit, bound?.toDouble(DurationUnit.SECONDS), seed)

private const val VMS = 6
private const val RUNS = 20
private const val MAX_PHASE_MS = 4_000
private val POLL = 50.milliseconds
