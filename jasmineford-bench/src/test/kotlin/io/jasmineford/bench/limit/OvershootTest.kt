package io.jasmineford.bench.limit

import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.limit.AccountRate
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against VMs that together admit more than `rate * t + burst` while bucket owners change: under pauses, crashes
 * with a restart, partitions from the store, store outages, planned stops, and lost replies and messages. Accounts send
 * three times their rate. `-Dschedules=N` runs N random schedules.
 */
class OvershootTest {
    @Test
    fun `all VMs together admit no more than the rate and burst under any schedule of faults`() {
        val schedules = System.getProperty("schedules")?.toInt() ?: DEFAULT_SCHEDULES
        var admitted = 0
        val violations = (1..schedules).mapNotNull { seed ->
            val loads = run(seed)
            admitted += loads.sumOf { it.admittedAt.size }
            loads.firstOrNull { overshoot(it) > 0.0 }?.let { "seed $seed: ${it.account} overshoots by ${overshoot(it)}" }
        }
        assertEquals(emptyList(), violations.take(MAX_REPORTED), "expected no overshoot in $schedules schedules, actual ${violations.size}")
        val minAdmitted = schedules * MIN_ADMITTED_PER_SCHEDULE
        assertTrue(admitted > minAdmitted, "expected admissions, actual $admitted in $schedules runs")
    }

    private fun run(seed: Int): List<AccountLoad> {
        val random = Random(seed)
        val loads = List(2) { AccountLoad(ScopedName("league", "account-$it"), AccountRate(RATE, BURST)) }
        val limits = LimitFleet(VMS, Sharing.SLICES, loads, DEADLINE, random, SETTINGS) { random.nextInt(20) == 0 }
        val fleet = limits.fleet
        val repairs = HashMap<() -> Unit, Duration>()
        while (fleet.time < END) {
            if (random.nextInt(FAULT_EVERY) == 0) {
                val end = fleet.time + random.nextInt(MAX_FAULT_MS).milliseconds
                val vm = fleet.vms.random(random)
                when (random.nextInt(6)) {
                    0 -> vm.isRunning = false.also { repairs[{ vm.isRunning = true }] = end }
                    1 -> vm.reachesStore = false.also { repairs[{ vm.reachesStore = true }] = end }
                    2 -> fleet.store.isDown = true.also { repairs[{ fleet.store.isDown = false }] = end }
                    3 -> fleet.vms[vm.index] = fleet.newProcess(vm.index)
                    4 -> vm.membership.setLeaving(true).also { repairs[{ fleet.vms[vm.index] = fleet.newProcess(vm.index) }] = end }
                    else -> fleet.store.loseReply = { random.nextInt(10) == 0 }
                }
            }
            repairs.filterValues { it <= fleet.time }.keys.forEach { it().also { _ -> repairs.remove(it) } }
            loads.forEach { limits.offerPoisson(it, RATE * 3, fleet.vms.filter { vm -> vm.isRunning }) }
            limits.step()
        }
        return loads
    }

    private companion object {
        const val DEFAULT_SCHEDULES = 60
        const val MAX_REPORTED = 3
        const val MIN_ADMITTED_PER_SCHEDULE = 200
        const val VMS = 3
        const val RATE = 20.0
        const val BURST = 20.0
        const val FAULT_EVERY = 400
        const val MAX_FAULT_MS = 8_000
        val DEADLINE = 1.seconds
        val END = 40.seconds
        val SETTINGS = MembershipSettings(
            timeToLive = 1500.milliseconds,
            renewEvery = 500.milliseconds,
            margin = 500.milliseconds,
            listEvery = 250.milliseconds,
            vmListEvery = 1.seconds,
            goneAfter = 3.seconds,
            shards = 4,
        )
    }
}
