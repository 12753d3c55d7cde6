package io.jasmineford.bench.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.ProgramId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Kinds of faults of a schedule. */
enum class ScheduleFault { DEATH, PAUSE, PARTITION, OUTAGE, SLOW_STORE, LEAVE }

/**
 * Size of a simulated fleet and the faults to inject.
 *
 * @property programs number of programs of each account.
 * @property faultInterval mean interval between the beginnings of two faults.
 * @property faultPeriod period in which faults begin; the last one ends up to 3 s later.
 * @property grace time after the last fault within which all callers must have their answers.
 * @property lossRate share of store calls whose request or reply is lost.
 * @property trimSegments number of journal segments above which a VM compacts its journal.
 */
data class ScheduleSettings(
    val vms: Int = 3,
    val shards: Int = 6,
    val programs: Int = 3,
    val turns: Int = 8,
    val faults: Set<ScheduleFault> = ScheduleFault.entries.toSet(),
    val faultInterval: Duration = 900.milliseconds,
    val faultPeriod: Duration = 8.seconds,
    val grace: Duration = 60.seconds,
    val lossRate: Double = 0.02,
    val trimSegments: Int = 12,
)

/**
 * Result of one schedule.
 *
 * @property violations violated guarantees; empty when all of them held.
 * @property latencies time from the first attempt of each turn to its answer.
 */
data class ScheduleResult(
    val violations: List<String>,
    val outcomes: Map<Outcome, Int>,
    val latencies: List<Duration>,
    val storeWrites: Long,
    val storeReads: Long,
)

/** Runs the product's program state machines on a few VMs, with random faults drawn from [seed]. */
class ProgramSchedule(private val seed: Long, private val settings: ScheduleSettings = ScheduleSettings()) {
    private val random = Random(seed)
    private val loop = EventLoop()
    private val store = FaultyStore(loop, random, settings.lossRate)
    private val leases = LeaseRegistry(loop, store.fake, settings.shards)
    private val context = SimulationContext(loop, store, leases, settings.shards, settings.trimSegments, JOURNAL)
    private val log = EndpointLog()
    private val calls = ProgramCall(log, random, failRate = FAIL_RATE)
    private val vms = (0 until settings.vms).map { newVm("vm$it") }.toMutableList()
    private val budget =
        ProgramBudget(calls = 1_000, tokens = settings.turns * TOKENS_PER_TURN, wallTimeSeconds = 3_600)
    private var attempts = 0L

    /** Runs the schedule to its end. */
    fun run(): ScheduleResult {
        val callers = programs().map { newCaller(it) }
        loop.after(100.milliseconds) { callers.forEach { it.start() } }
        scheduleLeaseChecks()
        if (settings.faults.isNotEmpty()) faults()
        val end = settings.faultPeriod + MAX_FAULT_DURATION + settings.grace
        loop.runUntil(end) { callers.all { it.isDone } }
        // Delayed duplicates and records that wait for the store have to arrive before the check.
        loop.runUntil(loop.clock.now() + DRAIN_TIME)
        return result(callers)
    }

    private fun result(callers: List<ProgramCaller>): ScheduleResult {
        val stuck = callers.count { !it.isDone }
        val found = callers.flatMap { it.violations } + log.violations +
            log.executions.filter { it.value > 1 }.map { "expected ${it.key} to run at most once, actual ${it.value} times" } +
            log.tokens.mapNotNull { (tree, used) -> overdraft(tree, used) } +
            listOfNotNull("expected every caller to have its answers, actual $stuck without".takeIf { stuck > 0 })
        return ScheduleResult(
            violations = found.map { "seed $seed: $it" },
            outcomes = callers.flatMap { it.outcomes.entries }.groupBy({ it.key }, { it.value }).mapValues { it.value.sum() },
            latencies = callers.flatMap { it.latencies },
            storeWrites = store.fake.counts.writes,
            storeReads = store.fake.counts.reads + store.fake.counts.lists,
        )
    }

    private fun overdraft(tree: String, used: Long): String? {
        val allowed = budget.tokens + (log.unsettled[tree] ?: 0)
        return "expected at most $allowed tokens of $tree, actual $used".takeIf { used > allowed }
    }

    /** Programs with the same names in two accounts, so that a mix-up of accounts shows. */
    private fun programs(): List<ProgramId> = ACCOUNTS.flatMap { account ->
        (0 until settings.programs).map { ProgramId(account, "p$it") }
    }

    private fun newVm(name: String) = ProgramVm(context, name, clockOffset = random.nextInt(MAX_OFFSET_S).seconds)

    private fun newCaller(program: ProgramId) = ProgramCaller(
        loop = loop,
        random = random,
        program = program,
        turns = settings.turns,
        budget = budget,
        send = { attempt, request, answer ->
            val owner = vms.firstOrNull { it.lifecycle.isServing(it.shardOf(program)) }
            val vm = if (owner == null || random.nextDouble() < WRONG_VM_RATE) vms.random(random) else owner
            vm.after(Duration.ZERO) { calls.run(vm, attempt, request, answer) }
        },
        nextAttempt = { ++attempts },
        log = log,
    )

    private fun scheduleLeaseChecks() {
        loop.after(LEASE_CHECK_INTERVAL) {
            if (!store.fake.isDown) leases.check()
            scheduleLeaseChecks()
        }
    }

    private fun faults() {
        loop.after(settings.faultInterval * (2 * random.nextDouble())) {
            if (loop.clock.now() > settings.faultPeriod) return@after
            inject(settings.faults.random(random))
            faults()
        }
    }

    private fun inject(fault: ScheduleFault) {
        val index = random.nextInt(vms.size)
        val vm = vms[index]
        val length = MAX_FAULT_DURATION * random.nextDouble()
        when (fault) {
            ScheduleFault.DEATH -> restart(index)

            ScheduleFault.PAUSE -> vm.pausedUntil = loop.clock.now() + length

            ScheduleFault.PARTITION -> {
                store.partitioned += vm.name
                loop.after(length) { store.partitioned -= vm.name }
            }

            ScheduleFault.OUTAGE -> {
                store.fake.isDown = true
                loop.after(length) { store.fake.isDown = false }
            }

            ScheduleFault.SLOW_STORE -> {
                store.slowness = MAX_SLOWNESS * random.nextDouble()
                loop.after(length) { store.slowness = Duration.ZERO }
            }

            ScheduleFault.LEAVE -> {
                vm.isLeaving = true
                val isBack = random.nextBoolean()
                loop.after(length) {
                    vm.isLeaving = false
                    if (!isBack && vms[index] === vm) restart(index)
                }
            }
        }
    }

    private fun restart(index: Int) {
        val old = vms[index]
        old.isAlive = false
        vms[index] = newVm(old.name)
    }

    private companion object {
        val ACCOUNTS = listOf(ScopedName("be-wal", "club"), ScopedName("ub", "shop"))
        val MAX_FAULT_DURATION = 3.seconds
        val MAX_SLOWNESS = 700.milliseconds
        val DRAIN_TIME = 5.seconds
        val LEASE_CHECK_INTERVAL = 100.milliseconds

        // Small segments, so that short schedules write many of them.
        val JOURNAL = JournalSettings(segmentBytes = 2_000, writeInterval = Duration.ZERO)
        const val FAIL_RATE = 0.03
        const val WRONG_VM_RATE = 0.1
        const val TOKENS_PER_TURN = 150L
        const val MAX_OFFSET_S = 1_000
    }
}
