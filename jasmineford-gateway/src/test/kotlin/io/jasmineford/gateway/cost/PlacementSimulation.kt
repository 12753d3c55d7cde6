package io.jasmineford.gateway.cost

import io.jasmineford.gateway.call.Dispatcher
import io.jasmineford.gateway.call.SchedulingAttributes
import io.jasmineford.gateway.call.WaitingCall
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.daemon.VirtualFleet
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.endpoint.RatePart
import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Daemons with real placement and heartbeats, in front of modelled endpoints of different speed, in virtual time. */
internal class PlacementSimulation(seed: Int, byWork: Boolean, private val perSecond: Double = 65.0) {
    private class Daemon(val dispatcher: Dispatcher, val observer: CallObserver)

    private val random = Random(seed)
    private val fleet = VirtualFleet(size = 4, zones = 1, random = Random(seed), placesByWork = byWork)
    private val service = Service("models", tokensPerEvent = BatchingEndpoint.TOKENS_PER_EVENT, memoryTokens = MEMORY)
    private val engines = List(ENDPOINTS) { "e$it" }.associateWith {
        BatchingEndpoint(speed = exp(ln(0.7) + random.nextDouble() * ln(1.7 / 0.7)), slots = SLOTS, MEMORY)
    }
    private val daemons = fleet.daemons.map { entry ->
        entry.state.directory.replace(engines.keys.map { endpoint(it, zone = "zone-0", slots = SLOTS) })
        val placement = entry.state.placement.takeIf { byWork }
        val chooser = EndpointChooser(entry.state.directory, "zone-0", fleet.clock, placement) { RatePart(1.0, 0) }
        Daemon(Dispatcher(chooser, fleet.clock), CallObserver(fleet.clock, entry.state.placement))
    }
    private val programs = ArrayList<Pair<String, Int>>()
    val firstEvents = ArrayList<Double>()
    val ends = ArrayList<Double>()
    val busiest = ArrayList<Double>()
    val busiestOverMean = ArrayList<Double>()

    /** Errors of estimates and of the callers' hints by route, in logarithms. */
    val estimateErrors = HashMap<String, MutableList<Double>>()
    val hintErrors = HashMap<String, MutableList<Double>>()

    fun run(time: Duration): PlacementSimulation {
        var next = Duration.ZERO
        while (fleet.clock.now() < time) {
            while (next <= fleet.clock.now()) {
                submit(nextCall())
                next += (-ln(1 - random.nextDouble()) / perSecond).seconds
            }
            fleet.run(STEP)
            engines.values.forEach { it.run(STEP.inWholeMilliseconds.toDouble()) }
            if (isMeasured()) {
                val remaining = engines.values.map { it.remainingMillis }
                busiestOverMean += remaining.max() / remaining.average().coerceAtLeast(1.0)
                busiest += remaining.max()
            }
        }
        return this
    }

    private fun millisSince(time: Duration) = (fleet.clock.now() - time).inWholeMilliseconds.toDouble()

    private fun isMeasured() = fleet.clock.now() > WARM_UP

    private fun submit(call: SimulatedCall) {
        val daemon = daemons.random(random)
        val work = daemon.observer.work(call.route, service, call.hints)
        if (isMeasured()) {
            estimateErrors.getOrPut(call.route) { ArrayList() } += abs(ln(work.outputTokens / call.output))
            hintErrors.getOrPut(call.route) { ArrayList() } += abs(ln(call.hint.toDouble() / call.output))
        }
        val now = fleet.clock.now()
        val scheduling = SchedulingAttributes(0, now + 1.seconds, now + 30.seconds, now)
        val placement = PlacementRequest(service, call.program, work = work)
        daemon.dispatcher.submit(WaitingCall(scheduling, placement, { send(daemon, it, call, now, work) }, {}))
    }

    private fun send(daemon: Daemon, state: EndpointState, call: SimulatedCall, arrived: Duration, work: CallWork) {
        val progress = daemon.observer.begin(state, work, isWhole = true)
        val sent = fleet.clock.now()
        var isFirst = true
        val onEvent = {
            if (isFirst && arrived > WARM_UP) firstEvents += millisSince(arrived)
            isFirst = false
            progress.event()
        }
        engines.getValue(state.endpoint.id).start(
            EngineJob(call, onEvent) {
                if (arrived > WARM_UP) ends += millisSince(arrived)
                progress.succeeded(fleet.clock.now() - sent)
                progress.ended()
                state.inFlight--
                daemon.dispatcher.completed(service, fleet.clock.now() - sent)
            },
        )
    }

    private fun nextCall(): SimulatedCall {
        if (programs.size < PROGRAMS) programs += "p${random.nextInt()}" to 0
        val index = random.nextInt(programs.size)
        val (program, calls) = programs[index]
        if (calls < CALLS_PER_PROGRAM) programs[index] = program to calls + 1 else programs.removeAt(index)
        val isReport = random.nextDouble() < 0.3
        val gauss = random.asJavaRandom()
        val median = if (isReport) 200.0 else 40.0
        val output = (median * exp(gauss.nextGaussian() * 0.7)).toInt().coerceIn(8, SimulatedCall.MAX_OUTPUT)
        val isFarOff = random.nextDouble() < 0.2
        val error = if (isFarOff) gauss.nextGaussian() * 2 else gauss.nextGaussian() * 0.3
        val shared = program.hashCode().mod(6).toLong()
        val session = PromptPart(program.hashCode() + 10L, 300 * (calls + 1))
        val parts = listOf(PromptPart(shared, 500 + 200 * shared.toInt()), session)
        return SimulatedCall(if (isReport) "report" else "chat", program, parts, output, error)
    }

    private companion object {
        const val ENDPOINTS = 12
        const val SLOTS = 8
        const val MEMORY = 12_000
        const val PROGRAMS = 60
        const val CALLS_PER_PROGRAM = 6
        val STEP = 5.milliseconds
        val WARM_UP = 8.seconds
    }
}

internal fun List<Double>.percentile(fraction: Double): Double = sorted().let { it[((it.size - 1) * fraction).toInt()] }
