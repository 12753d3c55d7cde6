package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.Usage
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * Decides which waiting call runs next, and where. Engines have no priorities, so that a call is dispatched only when it
 * can run at once within the endpoint's window.
 *
 * @param weightOf share of an account relative to the others.
 * @param windowOf calls that this VM may have in flight at an endpoint now.
 */
class CallScheduler(
    private val clock: MonotonicClock,
    private val settings: ScheduleSettings = ScheduleSettings(),
    private val weightOf: (ScopedName) -> Double = { 1.0 },
    windowOf: (Endpoint) -> Int = { it.window },
) {
    private val pools = EndpointPools(windowOf)
    private val placement = Placement(settings, pools)
    private val queues = HashMap<ScopedName, FairQueue>()
    private val running = HashMap<Long, RunningCall>()
    private val service = AttainedService()
    private val outputs = ExpectedOutput()

    /** What engines are believed to cache, and what becomes of paused programs' caches. */
    val caches: ProgramCaches = ProgramCaches(clock, settings, pools, placement)

    /** Calls that wait now. */
    val queueLength: Int get() = queues.values.sumOf { it.size }

    /** Calls that wait for [deployment]. */
    fun waitingFor(deployment: ScopedName): Int = queues[deployment]?.size ?: 0

    /** Calls of this VM in flight at the endpoint at [address]. */
    fun inFlight(address: String): Int = pools[address]?.inFlight ?: 0

    /** Replaces the endpoints that may get new work, by deployment. */
    fun endpointsChanged(usable: Map<ScopedName, List<Endpoint>>): List<ScheduleDecision> {
        pools.replace(usable)
        return queues.keys.flatMap { decide(it) }
    }

    /** Reads the windows again after they changed. */
    fun windowsChanged(): List<ScheduleDecision> {
        pools.refreshWindows()
        return queues.keys.flatMap { decide(it) }
    }

    /** Adds [call] to the queue. */
    fun submit(call: QueuedCall): List<ScheduleDecision> {
        call.program?.let { caches.pauses.called(it, clock.now()) }
        val queue = queues.getOrPut(call.deployment) { FairQueue(settings, weightOf) }
        queue.add(call, service.of(call.program))
        return decide(call.deployment)
    }

    /** Removes a call that its caller gave up, whether it waits or runs. */
    fun cancelled(call: Long): List<ScheduleDecision> {
        queues.values.firstNotNullOfOrNull { it.remove(call) }
        return finished(call)
    }

    /** Takes the first token of a call that was dispatched. */
    fun firstToken(call: Long) {
        val run = running[call] ?: return
        placement.firstToken(run.call.promptTokens - run.expectedCached, clock.now() - run.dispatchedAt)
    }

    /**
     * Frees the slot of a call that was dispatched.
     *
     * @param usage null when the endpoint reported none.
     * @param pause what the program waits for now.
     */
    fun finished(call: Long, usage: Usage? = null, pause: PauseKind = PauseKind.TOOL): List<ScheduleDecision> {
        val run = running.remove(call) ?: return emptyList()
        val now = clock.now()
        pools.update(run.slots) { inFlight-- }
        run.slots.served(now - run.dispatchedAt)
        if (usage != null) settle(run, usage, now)
        run.call.program?.let { caches.pauses.answered(it, pause, now) }
        return decide(run.call.deployment)
    }

    /** Forgets [program], which ended; the decision frees what engines hold of it. */
    fun programEnded(program: ProgramId): List<CacheDecision> {
        service.remove(program)
        return caches.ended(program)
    }

    /** Expires calls whose deadline passed. */
    fun tick(): List<ScheduleDecision> {
        val now = clock.now()
        val expired = queues.values.flatMap { queue ->
            queue.calls().filter { now >= it.deadline }.map { call ->
                queue.remove(call.id)
                ScheduleDecision.Expire(call.id)
            }
        }
        return expired + queues.keys.flatMap { decide(it) }
    }

    private fun settle(run: RunningCall, usage: Usage, now: Duration) {
        val cost = settings.cost.of(usage)
        queues.getValue(run.call.deployment).charge(run.call.account, cost - run.charged)
        run.call.program?.let { service.add(it, cost) }
        outputs.learn(run.call.account, usage.completion)
        run.slots.belief.answered(run.call, usage.cached, usage.prompt + usage.completion, now)
    }

    private fun decide(deployment: ScopedName): List<ScheduleDecision> {
        val queue = queues[deployment] ?: return emptyList()
        val decisions = mutableListOf<ScheduleDecision>()
        while (queue.size > 0 && pools.of(deployment).firstOrNull()?.isFree == true) {
            decisions += next(queue) ?: break
        }
        return decisions
    }

    private fun next(queue: FairQueue): ScheduleDecision? {
        val now = clock.now()
        for (call in queue.inOrder(now).take(settings.scanLimit)) {
            val place = if (now >= call.deadline) Place.Later else placement.place(call, now)
            if (place is Place.Now) return dispatch(queue, call, place, now)
        }
        return null
    }

    private fun dispatch(queue: FairQueue, call: QueuedCall, place: Place.Now, now: Duration): ScheduleDecision {
        queue.remove(call.id)
        queue.taken(call)
        val uncached = call.promptTokens - place.expectedCached
        val charged = settings.cost.of(uncached, place.expectedCached, outputs.of(call.account))
        queue.charge(call.account, charged)
        pools.update(place.slots) { inFlight++ }
        call.program?.let { placement.ranAt(it, place.slots) }
        running[call.id] = RunningCall(call, place.slots, now, charged, place.expectedCached)
        return ScheduleDecision.Dispatch(call.id, place.slots.endpoint, place.expectedCached)
    }

    private class RunningCall(
        val call: QueuedCall,
        val slots: EndpointSlots,
        val dispatchedAt: Duration,
        val charged: Double,
        val expectedCached: Long,
    )
}
