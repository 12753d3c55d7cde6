package io.jasmineford.core.schedule

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.Priority
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/**
 * A call that waits for an endpoint.
 *
 * @property id unique on this VM.
 * @property program null for a call outside any program.
 * @property promptTokens estimate of the prompt's tokens, history included.
 * @property deadline on this VM's monotonic clock; the call is expired when it is still waiting then.
 * @property excluded endpoints that must not be tried, by name.
 */
data class QueuedCall(
    val id: Long,
    val account: ScopedName,
    val deployment: ScopedName,
    val program: ProgramId? = null,
    val priority: Priority = Priority.DRAFT,
    val promptTokens: Long = 0,
    val submittedAt: Duration = Duration.ZERO,
    val deadline: Duration = Duration.INFINITE,
    val excluded: Set<String> = emptySet(),
)

/** What happens to a queued call. */
sealed interface ScheduleDecision {
    /** Id of the call. */
    val call: Long

    /** The call goes to [endpoint] now and occupies one slot of its window until [CallScheduler.finished]. */
    data class Dispatch(override val call: Long, val endpoint: Endpoint) : ScheduleDecision

    /** The deadline passed before a slot was free; the call did not run. */
    data class Expire(override val call: Long) : ScheduleDecision
}

/** Decides which waiting call runs next, and where. */
class CallScheduler(private val clock: MonotonicClock) {
    private val waiting = ArrayDeque<QueuedCall>()
    private val running = HashMap<Long, Endpoint>()
    private val inFlight = HashMap<String, Int>()
    private var endpoints: Map<ScopedName, List<Endpoint>> = emptyMap()

    /** Calls that wait now. */
    val queueLength: Int get() = waiting.size

    /** Replaces the endpoints that may get new work, by deployment. */
    fun endpointsChanged(usable: Map<ScopedName, List<Endpoint>>): List<ScheduleDecision> {
        endpoints = usable
        return decide()
    }

    /** Adds [call] to the queue. */
    fun submit(call: QueuedCall): List<ScheduleDecision> {
        waiting.addLast(call)
        return decide()
    }

    /** Removes a call that its caller gave up, whether it waits or runs. */
    fun cancelled(call: Long): List<ScheduleDecision> {
        waiting.removeAll { it.id == call }
        return finished(call)
    }

    /** Frees the slot of a call that was dispatched. */
    fun finished(call: Long): List<ScheduleDecision> {
        val endpoint = running.remove(call) ?: return emptyList()
        inFlight.merge(endpoint.address, -1, Int::plus)
        return decide()
    }

    /** Expires calls whose deadline passed. */
    fun tick(): List<ScheduleDecision> = decide()

    private fun decide(): List<ScheduleDecision> {
        val decisions = mutableListOf<ScheduleDecision>()
        val now = clock.now()
        val calls = waiting.iterator()
        while (calls.hasNext()) {
            val decision = decide(calls.next(), now) ?: continue
            calls.remove()
            decisions += decision
        }
        return decisions
    }

    private fun decide(call: QueuedCall, now: Duration): ScheduleDecision? {
        if (now >= call.deadline) return ScheduleDecision.Expire(call.id)
        val endpoint = endpoints[call.deployment].orEmpty()
            .filter { it.name !in call.excluded && load(it) < it.window }
            .minByOrNull { load(it) } ?: return null
        running[call.id] = endpoint
        inFlight.merge(endpoint.address, 1, Int::plus)
        return ScheduleDecision.Dispatch(call.id, endpoint)
    }

    private fun load(endpoint: Endpoint) = inFlight[endpoint.address] ?: 0
}
