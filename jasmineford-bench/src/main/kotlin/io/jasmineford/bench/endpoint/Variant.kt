package io.jasmineford.bench.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CacheDecision
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.PauseKind
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.core.time.MonotonicClock

/** Deployment of all calls of a simulation. */
val DEPLOYMENT: ScopedName = ScopedName("bench", "engines")

/** A scheduler under test: the product or a baseline. */
interface Variant {
    /** Submits [call] and returns the calls to dispatch. */
    fun submit(call: QueuedCall): List<ScheduleDecision>

    /** Handles the first token of a call. */
    fun firstToken(call: Long) = Unit

    /** Handles the end of a call and returns the calls to dispatch. */
    fun finished(call: Long, usage: Usage, pause: PauseKind): List<ScheduleDecision>

    /** Handles the end of a program and returns the decisions about its caches. */
    fun ended(program: ProgramId): List<CacheDecision> = emptyList()
}

/** The product's scheduler. */
class ProductVariant(val scheduler: CallScheduler, endpoints: List<Endpoint>) : Variant {
    init {
        scheduler.endpointsChanged(mapOf(DEPLOYMENT to endpoints))
    }

    override fun submit(call: QueuedCall) = scheduler.submit(call)

    override fun firstToken(call: Long) = scheduler.firstToken(call)

    override fun finished(call: Long, usage: Usage, pause: PauseKind) = scheduler.finished(call, usage, pause)

    override fun ended(program: ProgramId) = scheduler.programEnded(program)
}

/** Baseline that sends each call immediately to the endpoint with the index that [choose] returns; engines queue. */
class DirectVariant(
    private val endpoints: List<Endpoint>,
    private val choose: (call: QueuedCall, inFlight: IntArray) -> Int,
) : Variant {
    private val inFlight = IntArray(endpoints.size)
    private val running = HashMap<Long, Int>()

    override fun submit(call: QueuedCall): List<ScheduleDecision> {
        val index = choose(call, inFlight)
        inFlight[index]++
        running[call.id] = index
        return listOf(ScheduleDecision.Dispatch(call.id, endpoints[index]))
    }

    override fun finished(call: Long, usage: Usage, pause: PauseKind): List<ScheduleDecision> {
        running.remove(call)?.let { inFlight[it]-- }
        return emptyList()
    }
}

/** Baseline with one FIFO queue for all accounts; calls go to the least loaded endpoint with a free slot. */
class FirstComeVariant(private val endpoints: List<Endpoint>) : Variant {
    private val waiting = ArrayDeque<QueuedCall>()
    private val inFlight = IntArray(endpoints.size)
    private val running = HashMap<Long, Int>()

    override fun submit(call: QueuedCall): List<ScheduleDecision> {
        waiting.addLast(call)
        return dispatch()
    }

    override fun finished(call: Long, usage: Usage, pause: PauseKind): List<ScheduleDecision> {
        running.remove(call)?.let { inFlight[it]-- }
        return dispatch()
    }

    private fun dispatch(): List<ScheduleDecision> = buildList {
        while (waiting.isNotEmpty()) {
            val index = endpoints.indices.minBy { inFlight[it] }
            if (inFlight[index] >= endpoints[index].window) break
            val call = waiting.removeFirst()
            inFlight[index]++
            running[call.id] = index
            add(ScheduleDecision.Dispatch(call.id, endpoints[index]))
        }
    }
}

/** Creates a variant for the endpoints of a simulation. */
typealias VariantFactory = (clock: MonotonicClock, endpoints: List<Endpoint>) -> Variant

/** The product with its default settings. */
val productVariant: VariantFactory = { clock, endpoints -> ProductVariant(CallScheduler(clock), endpoints) }

/** Sends calls to the endpoints in turn. */
val roundRobin: VariantFactory = { _, endpoints ->
    var next = 0
    DirectVariant(endpoints) { _, _ -> next++ % endpoints.size }
}

/** Sends each call to the endpoint with the fewest calls in flight. */
val leastLoaded: VariantFactory = { _, endpoints ->
    DirectVariant(endpoints) { _, inFlight -> inFlight.indices.minBy { inFlight[it] } }
}

/** Sends all calls of a program to one endpoint, regardless of load. */
val stickyByProgram: VariantFactory = { _, endpoints ->
    DirectVariant(endpoints) { call, _ -> Math.floorMod(call.program.hashCode(), endpoints.size) }
}

/** One FIFO queue for all calls. */
val firstComeFirstServed: VariantFactory = { _, endpoints -> FirstComeVariant(endpoints) }
