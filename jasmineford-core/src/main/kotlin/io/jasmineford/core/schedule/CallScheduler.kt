package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.Usage
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * Decides which waiting call runs next and on which endpoint. Engines do not support priorities, so a call is
 * dispatched only when it can run at once within the endpoint's concurrency window.
 *
 * @param weightOf weight of an account relative to the others in fair queueing.
 * @param windowOf number of calls that this VM may currently have in flight at an endpoint.
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

    /** Estimated KV cache contents of engines, and eviction of paused programs' caches. */
    val caches: ProgramCaches = ProgramCaches(clock, settings, pools, placement)

    /** Number of waiting calls. */
    val queueLength: Int get() = queues.values.sumOf { it.size }

    /** Number of calls waiting for [deployment]. */
    fun waitingFor(deployment: ScopedName): Int = queues[deployment]?.size ?: 0

    /** Number of calls of this VM in flight at the endpoint at [address]. */
    fun inFlight(address: String): Int = pools[address]?.inFlight ?: 0

    /** Replaces the endpoints that may receive new calls, by deployment. */
    fun endpointsChanged(usable: Map<ScopedName, List<Endpoint>>): List<ScheduleDecision> {
        pools.replace(usable)
        return queues.keys.flatMap { decide(it) }
    }

    /** Re-reads the windows of all endpoints after changes. */
    fun windowsChanged(): List<ScheduleDecision> {
        pools.refreshWindows()
        return queues.keys.flatMap { decide(it) }
    }

    /** Re-reads the window of the endpoint at [address] after a change. */
    fun windowChanged(address: String): List<ScheduleDecision> {
        val slots = pools[address] ?: return emptyList()
        pools.refreshWindow(slots)
        return if (slots.isFree) queues.keys.flatMap { decide(it) } else emptyList()
    }

    /** Adds [call] to the queue. */
    fun submit(call: QueuedCall): List<ScheduleDecision> {
        call.program?.let { caches.pauses.called(it, clock.now()) }
        val queue = queues.getOrPut(call.deployment) { FairQueue(settings, weightOf) }
        queue.add(call, service.of(call.program))
        return decide(call.deployment)
    }

    /** Removes a call cancelled by its caller, whether it is waiting or running. */
    fun cancelled(call: Long): List<ScheduleDecision> {
        queues.values.firstNotNullOfOrNull { it.remove(call) }
        return finished(call)
    }

    /** Records the first token of a dispatched call. */
    fun firstToken(call: Long) {
        val run = running[call] ?: return
        placement.firstToken(run.call.promptTokens - run.expectedCached, clock.now() - run.dispatchedAt)
    }

    /**
     * Frees the slot of a dispatched call.
     *
     * @param usage null when the endpoint reported none.
     * @param pause what the program waits for after this call.
     */
    fun finished(call: Long, usage: Usage? = null, pause: PauseKind = PauseKind.TOOL): List<ScheduleDecision> {
        val run = running.remove(call) ?: return emptyList()
        val now = clock.now()
        pools.update(run.slots) { inFlight-- }
        run.slots.recordServiceTime(now - run.dispatchedAt)
        if (usage != null) settle(run, usage, now)
        run.call.program?.let { caches.pauses.answered(it, pause, now) }
        return decide(run.call.deployment)
    }

    /** Removes [program], which ended; the decisions free its caches on engines. */
    fun programEnded(program: ProgramId): List<CacheDecision> {
        service.remove(program)
        return caches.ended(program)
    }

    /** Expires waiting calls whose deadline has passed, and dispatches calls where possible. */
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
        run.slots.cache.answered(run.call, usage.cached, usage.prompt + usage.completion, now)
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
            val placed = if (now >= call.deadline) PlacementResult.Later else placement.place(call, now)
            if (placed is PlacementResult.Now) return dispatch(queue, call, placed, now)
        }
        return null
    }

    private fun dispatch(
        queue: FairQueue,
        call: QueuedCall,
        placed: PlacementResult.Now,
        now: Duration,
    ): ScheduleDecision {
        queue.remove(call.id)
        queue.recordDispatch(call)
        val uncached = call.promptTokens - placed.expectedCached
        val charged = settings.cost.of(uncached, placed.expectedCached, outputs.of(call.account))
        queue.charge(call.account, charged)
        pools.update(placed.slots) { inFlight++ }
        call.program?.let { placement.recordEndpoint(it, placed.slots) }
        running[call.id] = RunningCall(call, placed.slots, now, charged, placed.expectedCached)
        return ScheduleDecision.Dispatch(call.id, placed.slots.endpoint, placed.expectedCached)
    }

    private class RunningCall(
        val call: QueuedCall,
        val slots: EndpointSlots,
        val dispatchedAt: Duration,
        val charged: Double,
        val expectedCached: Long,
    )
}
