package io.jasmineford.bench.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.config.ProgramBudget
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Kinds of faults of a schedule. */
enum class ScheduleFault { DEATH, PAUSE, PARTITION, OUTAGE, SLOW_STORE, LEAVE }

/**
 * Size and faults of a schedule.
 *
 * @property faultTime during which new faults begin; all have ended a little later.
 * @property grace within which all callers must have their answers after the last fault ended.
 */
data class ScheduleSettings(
    val vms: Int = 3,
    val shards: Int = 6,
    val programs: Int = 3,
    val turns: Int = 8,
    val faults: Set<ScheduleFault> = ScheduleFault.entries.toSet(),
    val faultEvery: Duration = 900.milliseconds,
    val faultTime: Duration = 8.seconds,
    val grace: Duration = 60.seconds,
    val lossRate: Double = 0.02,
    val trimSegments: Int = 12,
)

/** What one schedule showed. [faults] is empty when every property held. */
data class ScheduleResult(
    val faults: List<String>,
    val outcomes: Map<Outcome, Int>,
    val latencies: List<Duration>,
    val storeWrites: Long,
    val storeReads: Long,
)

/** Runs the product's program machines on a few VMs through the faults that [seed] chooses. */
class ProgramSchedule(private val seed: Long, private val settings: ScheduleSettings = ScheduleSettings()) {
    private val random = Random(seed)
    private val loop = EventLoop()
    private val store = FaultyStore(loop, random, settings.lossRate)
    private val board = LeaseBoard(loop, store.fake, settings.shards)
    private val world = ProgramWorld(loop, store, board, settings.shards, settings.trimSegments)
    private val log = EndpointLog()
    private val calls = ProgramCall(log, random, failRate = FAIL_RATE)
    private val vms = (0 until settings.vms).map { newVm("vm$it") }.toMutableList()
    private val budget = ProgramBudget(calls = 1_000, tokens = settings.turns * TOKENS_A_TURN, wallTimeSeconds = 3_600)
    private var attempts = 0L

    /** Runs the schedule. */
    fun run(): ScheduleResult {
        val callers = programs().map { newCaller(it) }
        loop.after(100.milliseconds) { callers.forEach { it.start() } }
        boardChecks()
        if (settings.faults.isNotEmpty()) faults()
        val end = settings.faultTime + LONGEST_FAULT + settings.grace
        loop.runUntil(end) { callers.all { it.isDone } }
        // Late duplicates and waiting records still have to arrive.
        loop.runUntil(loop.clock.now() + SETTLE)
        return result(callers)
    }

    private fun result(callers: List<ProgramCaller>): ScheduleResult {
        val stuck = callers.count { !it.isDone }
        val found = callers.flatMap { it.faults } + log.faults +
            log.runs.filter { it.value > 1 }.map { "expected ${it.key} to run at most once, actual ${it.value} times" } +
            log.tokens.mapNotNull { (tree, used) -> overdraft(tree, used) } +
            listOfNotNull("expected every caller to have its answers, actual $stuck without".takeIf { stuck > 0 })
        return ScheduleResult(
            faults = found.map { "seed $seed: $it" },
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

    /** The same names in two accounts, and a sub-agent. */
    private fun programs(): List<ProgramId> = ACCOUNTS.flatMap { account ->
        (0 until settings.programs).map { ProgramId(account, "p$it") }
    }

    private fun newVm(name: String) = ProgramVm(world, name, clockOffset = random.nextInt(MAX_OFFSET_S).seconds)

    private fun newCaller(program: ProgramId) = ProgramCaller(
        loop = loop,
        random = random,
        program = program,
        turns = settings.turns,
        budget = budget,
        send = { attempt, request, answer ->
            val keeper = vms.firstOrNull { it.keeping.isServing(it.shardOf(program)) }
            val vm = if (keeper == null || random.nextDouble() < WRONG_VM_RATE) vms.random(random) else keeper
            vm.after(Duration.ZERO) { calls.run(vm, attempt, request, answer) }
        },
        nextAttempt = { ++attempts },
        log = log,
    )

    private fun boardChecks() {
        loop.after(BOARD_CHECK) {
            if (!store.fake.isDown) board.check()
            boardChecks()
        }
    }

    private fun faults() {
        loop.after(settings.faultEvery * (2 * random.nextDouble())) {
            if (loop.clock.now() > settings.faultTime) return@after
            inject(settings.faults.random(random))
            faults()
        }
    }

    private fun inject(fault: ScheduleFault) {
        val index = random.nextInt(vms.size)
        val vm = vms[index]
        val length = LONGEST_FAULT * random.nextDouble()
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
                store.slowness = SLOWEST * random.nextDouble()
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
        val LONGEST_FAULT = 3.seconds
        val SLOWEST = 700.milliseconds
        val SETTLE = 5.seconds
        val BOARD_CHECK = 100.milliseconds
        const val FAIL_RATE = 0.03
        const val WRONG_VM_RATE = 0.1
        const val TOKENS_A_TURN = 150L
        const val MAX_OFFSET_S = 1_000
    }
}
