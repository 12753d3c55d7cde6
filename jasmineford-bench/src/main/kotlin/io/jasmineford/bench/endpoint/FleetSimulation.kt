package io.jasmineford.bench.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CacheDecision
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.standin.engine.EngineJob
import io.jasmineford.standin.engine.EnginePrompt
import io.jasmineford.standin.engine.EngineSignal
import io.jasmineford.standin.engine.FakeEngine
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs a workload against simulated engines in virtual time, without faults. */
class FleetSimulation(private val workload: Workload, factory: VariantFactory, seed: Long) {
    private val events = EventQueue()
    private val engines = List(workload.endpoints) { FakeEngine("engine-$it", workload.profile, Random(seed + it)) }
    private val endpoints = engines.map { Endpoint(it.name, it.name, zone = "z", window = workload.profile.maxBatch) }
    private val byName = engines.associateBy { it.name }
    private val variant = factory(events.clock, endpoints)
    private val calls = HashMap<Long, SimulatedCall>()
    private val wakeAt = HashMap<String, Duration>()
    private val result = SimulationResult(workload)
    private var nextId = 1L
    private var openPrograms = workload.programs.size

    /** Runs until all programs have completed. */
    fun run(): SimulationResult {
        for (plan in workload.programs) {
            events.at(plan.arrivesAt) {
                ProgramRun(plan) {
                    openPrograms--
                    result.programs += ProgramResult(plan, events.clock.now() - plan.arrivesAt)
                }.nextTurn()
            }
        }
        if (variant is ProductVariant) events.after(REPORT_INTERVAL) { report(variant) }
        events.run()
        return result
    }

    private fun report(product: ProductVariant) {
        val now = events.clock.now()
        for ((engine, endpoint) in engines.zip(endpoints)) {
            engine.cacheEvents(now).forEach {
                product.scheduler.caches.reported(endpoint, programOf(it.program), it.tokens.toLong())
            }
            val used = engine.loadReport(now).cachedTokens
            product.scheduler.caches.memoryReported(endpoint, used, workload.profile.cacheTokens)
        }
        perform(product.scheduler.caches.relievePressure())
        if (openPrograms > 0) events.after(REPORT_INTERVAL) { report(product) }
    }

    private fun perform(decisions: List<CacheDecision>) {
        for (decision in decisions) {
            when (decision) {
                is CacheDecision.Drop -> byName.getValue(decision.endpoint.name).cache.drop("${decision.program}")
                is CacheDecision.Export -> export(decision)
            }
        }
    }

    private fun export(move: CacheDecision.Export) {
        val from = byName.getValue(move.from.name).cache
        val tokens = from.programs()["${move.program}"] ?: return
        from.drop("${move.program}")
        events.after(workload.profile.importPerToken * tokens) {
            val importedTokens = byName.getValue(move.to.name).cache.import("${move.program}", tokens)
            (variant as ProductVariant).scheduler.caches.moved(move.program, move.to, importedTokens.toLong())
        }
    }

    private fun dispatch(decisions: List<ScheduleDecision>) {
        for (decision in decisions.filterIsInstance<ScheduleDecision.Dispatch>()) {
            val call = calls.getValue(decision.call)
            val engine = byName.getValue(decision.endpoint.name)
            engine.submit(events.clock.now(), EngineJob(decision.call, call.prompt, call.turn.outputTokens))
            scheduleWakeUp(engine)
        }
    }

    private fun scheduleWakeUp(engine: FakeEngine) {
        val at = engine.nextEventAt()
        val planned = wakeAt[engine.name] ?: Duration.INFINITE
        if (at.isInfinite() || planned <= at) return
        wakeAt[engine.name] = at
        events.at(at) {
            wakeAt.remove(engine.name)
            engine.advance(events.clock.now()).forEach(::onSignal)
            scheduleWakeUp(engine)
        }
    }

    private fun onSignal(signal: EngineSignal) {
        val call = calls.getValue(signal.job)
        when (signal) {
            is EngineSignal.FirstToken -> {
                result.firstTokens += signal.at - call.submittedAt
                variant.firstToken(signal.job)
            }

            is EngineSignal.Completed -> completed(call, signal)

            is EngineSignal.Failed -> error("expected no engine failure, actual failure of job ${signal.job}")
        }
    }

    private fun completed(call: SimulatedCall, signal: EngineSignal.Completed) {
        calls.remove(signal.job)
        result.calls += CallResult(call.run.plan.id, call.submittedAt, call.prompt, call.turn, signal.cachedTokens)
        val usage = Usage(call.prompt.tokens.toLong(), call.turn.outputTokens.toLong(), signal.cachedTokens.toLong())
        dispatch(variant.finished(signal.job, usage, call.turn.pause))
        call.run.turnEnded(call.turn)
    }

    private class SimulatedCall(
        val run: ProgramRun,
        val turn: TurnPlan,
        val prompt: EnginePrompt,
        val submittedAt: Duration,
    )

    /** One program in progress. */
    private inner class ProgramRun(val plan: ProgramPlan, private val onEnd: () -> Unit) {
        private var turn = 0
        private var history = 0
        private var openParts = 0

        fun nextTurn() {
            val now = events.clock.now()
            val next = plan.turns[turn++]
            history += next.newTokens
            val prompt = EnginePrompt(plan.shared, plan.sharedTokens, "${plan.id}", history)
            val id = nextId++
            calls[id] = SimulatedCall(this, next, prompt, now)
            val call = QueuedCall(
                id = id,
                account = plan.id.account,
                deployment = DEPLOYMENT,
                program = plan.id,
                priority = plan.priority,
                promptTokens = prompt.tokens.toLong(),
                prefix = plan.shared,
                prefixTokens = plan.sharedTokens.toLong(),
                submittedAt = now,
            )
            dispatch(variant.submit(call))
        }

        fun turnEnded(ended: TurnPlan) {
            history += ended.outputTokens
            if (turn == plan.turns.size) {
                perform(variant.ended(plan.id))
                onEnd()
                return
            }
            openParts = 1 + ended.subAgents.size
            events.after(ended.pauseAfter) { partEnded() }
            ended.subAgents.forEach { ProgramRun(it, ::partEnded).nextTurn() }
        }

        private fun partEnded() {
            openParts--
            if (openParts == 0) nextTurn()
        }
    }

    private companion object {
        val REPORT_INTERVAL = 100.milliseconds
    }
}

private fun programOf(text: String): ProgramId {
    val (organisation, account, name) = text.split('/', limit = PROGRAM_PARTS)
    return ProgramId(io.jasmineford.core.config.ScopedName(organisation, account), name)
}

private const val PROGRAM_PARTS = 3
