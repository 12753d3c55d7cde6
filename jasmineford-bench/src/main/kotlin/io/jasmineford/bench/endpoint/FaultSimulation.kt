package io.jasmineford.bench.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.endpoint.AnswerSample
import io.jasmineford.core.endpoint.FailedCall
import io.jasmineford.core.endpoint.FailureKind
import io.jasmineford.core.endpoint.FailureVerdict
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CacheDecision
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.standin.engine.EngineJob
import io.jasmineford.standin.engine.EnginePrompt
import io.jasmineford.standin.engine.EngineSignal
import io.jasmineford.standin.engine.FakeEngine
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Creates a variant for the endpoints of a simulation with faults. */
typealias FaultVariantFactory = (clock: MonotonicClock, endpoints: List<Endpoint>) -> FaultVariant

/** Time and endpoint of an attempt or an answer. */
data class EndpointEvent(
    val at: Duration,
    val endpoint: String,
)

/**
 * Runs programs in virtual time against engines that fail. A call that ends without an answer ends its program.
 *
 * @param callTimeout time from the submission of a call to its deadline.
 * @param isFatal decides whether the prompts of a program crash their engine.
 */
class FaultSimulation(
    private val workload: Workload,
    factory: FaultVariantFactory,
    seed: Long,
    private val callTimeout: Duration = 30.seconds,
    private val isFatal: (ProgramPlan) -> Boolean = { false },
) {
    val events = EventQueue()
    val engines = List(workload.endpoints) { FakeEngine("engine-$it", workload.profile, Random(seed + it)) }
    val endpoints = engines.mapIndexed { index, engine ->
        Endpoint(engine.name, engine.name, zone = "zone-${index % ZONES}", window = workload.profile.maxBatch)
    }
    private val byName = engines.associateBy { it.name }
    private val variant = factory(events.clock, endpoints)
    private val calls = HashMap<Long, FaultCall>()
    private val wakeAt = HashMap<String, Duration>()
    private var nextId = 1L
    private var openPrograms = workload.programs.size

    /** Attempts sent to endpoints. */
    val attempts = mutableListOf<EndpointEvent>()

    /** Answers received from endpoints. */
    val answers = mutableListOf<EndpointEvent>()

    /** Times at which calls ended without an answer, with their programs. */
    val failures = mutableListOf<Pair<Duration, ProgramPlan>>()

    /** Completed programs. */
    val programs = mutableListOf<ProgramResult>()

    /** Runs until every program has completed or failed. */
    fun run(): FaultSimulation {
        for (plan in workload.programs) events.at(plan.arrivesAt) { FaultProgram(plan).nextTurn() }
        events.after(TICK) { tick() }
        events.run()
        return this
    }

    /** Takes the endpoints of [zone] out of service or back, [delay] after the operator requested it. */
    fun setZone(zone: String, isIn: Boolean, delay: Duration) = events.after(delay) {
        val inZone = endpoints.filter { it.zone == zone }
        val others = endpoints.filter { it.zone != zone }
        val moves = if (isIn) variant.inService(endpoints, emptyList(), inZone) else variant.inService(others, inZone, emptyList())
        moves.filterIsInstance<CacheDecision.Export>().forEach(::export)
    }

    /** Crashes [engine] for [downFor]. */
    fun crash(engine: FakeEngine, downFor: Duration) {
        engine.crash(events.clock.now(), downFor)
        scheduleWakeUp(engine)
    }

    private fun export(move: CacheDecision.Export) {
        val tokens = byName.getValue(move.from.name).cache.programs()["${move.program}"] ?: return
        byName.getValue(move.from.name).cache.drop("${move.program}")
        events.after(workload.profile.importPerToken * tokens) {
            val importedTokens = byName.getValue(move.to.name).cache.import("${move.program}", tokens)
            (variant as GuardedVariant).moved(move, importedTokens.toLong())
        }
    }

    private fun tick() {
        val now = events.clock.now()
        for ((id, call) in calls.filter { it.value.engine != null && now >= it.value.deadline }) {
            call.engine?.cancel(now, id)
            fail(id, call, FailureKind.MAY_HAVE_RUN, isCrash = false)
        }
        perform(variant.tick())
        check(now < MAX_RUN_TIME) { "expected all programs to end within $MAX_RUN_TIME, actual $openPrograms open" }
        if (openPrograms > 0) events.after(TICK) { tick() }
    }

    private fun perform(decisions: List<ScheduleDecision>) {
        for (decision in decisions) {
            val call = calls[decision.call] ?: continue
            when (decision) {
                is ScheduleDecision.Expire -> giveUp(decision.call, call)
                is ScheduleDecision.Dispatch -> send(decision, call)
            }
        }
    }

    private fun send(decision: ScheduleDecision.Dispatch, call: FaultCall) {
        val now = events.clock.now()
        val engine = byName.getValue(decision.endpoint.name)
        call.engine = engine
        call.sentAt = now
        attempts += EndpointEvent(now, engine.name)
        engine.submit(now, EngineJob(decision.call, call.prompt, call.turn.outputTokens, isFatal(call.program.plan)))
        scheduleWakeUp(engine)
    }

    private fun scheduleWakeUp(engine: FakeEngine) {
        val at = engine.nextEventAt()
        if (at.isInfinite() || (wakeAt[engine.name] ?: Duration.INFINITE) <= at) return
        wakeAt[engine.name] = at
        events.at(at) {
            wakeAt.remove(engine.name)
            engine.advance(events.clock.now()).forEach(::onSignal)
            scheduleWakeUp(engine)
        }
    }

    private fun onSignal(signal: EngineSignal) {
        val call = calls[signal.job] ?: return
        when (signal) {
            is EngineSignal.FirstToken -> call.firstToken = signal.at - call.sentAt
            is EngineSignal.Completed -> succeed(call, signal)
            is EngineSignal.Failed -> {
                val kind = if (signal.isRefused) FailureKind.NOT_RUN else FailureKind.MAY_HAVE_RUN
                fail(signal.job, call, kind, isCrash = true)
            }
        }
    }

    private fun succeed(call: FaultCall, signal: EngineSignal.Completed) {
        calls.remove(signal.job)
        answers += EndpointEvent(signal.at, call.engine?.name.orEmpty())
        val output = call.turn.outputTokens
        val uncached = call.prompt.tokens - signal.cachedTokens
        val interval = (signal.at - call.sentAt - call.firstToken) / (output - 1).coerceAtLeast(1)
        val usage = Usage(call.prompt.tokens.toLong(), output.toLong(), signal.cachedTokens.toLong())
        perform(variant.succeeded(signal.job, usage, AnswerSample(call.firstToken, interval, uncached.toLong())))
        call.program.turnEnded(call.turn)
    }

    private fun fail(id: Long, call: FaultCall, kind: FailureKind, isCrash: Boolean) {
        calls.remove(id)
        call.engine = null
        call.attempts++
        val (verdict, decisions) = variant.failed(id, kind, FailedCall(call.attempts, true, call.deadline, isCrash))
        when (verdict) {
            is FailureVerdict.Retry -> events.after(verdict.wait) { submit(call) }
            FailureVerdict.GiveUp -> giveUp(id, call)
        }
        perform(decisions)
    }

    private fun giveUp(id: Long, call: FaultCall) {
        calls.remove(id)
        failures += events.clock.now() to call.program.plan
        openPrograms--
    }

    private fun submit(call: FaultCall) {
        val id = nextId++
        calls[id] = call
        val plan = call.program.plan
        val queued = QueuedCall(
            id = id,
            account = plan.id.account,
            deployment = DEPLOYMENT,
            program = plan.id,
            promptTokens = call.prompt.tokens.toLong(),
            prefix = plan.shared,
            prefixTokens = plan.sharedTokens.toLong(),
            submittedAt = events.clock.now(),
            deadline = call.deadline,
        )
        perform(variant.submit(queued, call.digest))
    }

    private class FaultCall(
        val program: FaultProgram,
        val turn: TurnPlan,
        val prompt: EnginePrompt,
        val digest: String,
        val deadline: Duration,
    ) {
        var engine: FakeEngine? = null
        var sentAt = Duration.ZERO
        var firstToken = Duration.ZERO
        var attempts = 0
    }

    private inner class FaultProgram(val plan: ProgramPlan) {
        private var turn = 0
        private var history = 0

        fun nextTurn() {
            val next = plan.turns[turn++]
            history += next.newTokens
            val prompt = EnginePrompt(plan.shared, plan.sharedTokens, "${plan.id}", history)
            val digest = if (isFatal(plan)) "fatal" else "${plan.id}-$turn"
            submit(FaultCall(this, next, prompt, digest, events.clock.now() + callTimeout))
        }

        fun turnEnded(ended: TurnPlan) {
            history += ended.outputTokens
            if (turn < plan.turns.size) {
                events.after(ended.pauseAfter) { nextTurn() }
                return
            }
            openPrograms--
            programs += ProgramResult(plan, events.clock.now() - plan.arrivesAt)
        }
    }

    private companion object {
        val TICK = 50.milliseconds
        val MAX_RUN_TIME = 1_200.seconds
        const val ZONES = 3
    }
}
