package io.jasmineford.bench.fleet

import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.limit.AccountLimiter
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalProgress
import io.jasmineford.core.program.JournalRecord
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.ProgramRegistry
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** An entry VM: the product's state machines, driven in virtual time as the daemon drives them. */
class SimulatedVm(
    val name: String,
    val zone: String,
    private val time: VirtualTime,
    private val store: FakeObjectStore,
    private val nonces: () -> String,
    val limiter: AccountLimiter,
) {
    private val scheduler = CallScheduler(time.clock)
    private val settings = JournalSettings()
    private val journal = Journal("$name-1", settings, time.clock, nonces)
    private val onDurableByPosition = TreeMap<Long, () -> Unit>()
    private val onDispatchByCall = HashMap<Long, (Endpoint) -> Unit>()
    private var nextCall = 1L

    /** Active configuration of this VM. */
    val configuration = ConfigurationHolder(time.clock, maxProofAge = Duration.INFINITE)

    /** Programs that this VM owns. */
    val registry = ProgramRegistry(time.clock)

    /** Activates [next] and updates the endpoints of the scheduler; ignored when it is not newer. */
    fun configure(next: Configuration) {
        if (!configuration.putInForce(next)) return
        val usable = next.organisations.flatMap { (organisation, content) ->
            content.deployments.values.map { deployment ->
                ScopedName(organisation, deployment.name) to
                    deployment.endpoints.filter { it.zone !in next.serviceState.zonesOut }
            }
        }
        perform(scheduler.endpointsChanged(usable.toMap()))
    }

    /** Queues [call] and returns its id; [onDispatch] runs when the call is assigned to an endpoint. */
    fun submit(call: QueuedCall, onDispatch: (Endpoint) -> Unit): Long {
        val id = nextCall++
        onDispatchByCall[id] = onDispatch
        perform(scheduler.submit(call.copy(id = id)))
        return id
    }

    /** Reports the first token of [call] to the scheduler. */
    fun firstToken(call: Long) = scheduler.firstToken(call)

    /** Releases the slot of [call]. */
    fun finished(call: Long, usage: Usage) = perform(scheduler.finished(call, usage))

    /** Appends [records]; [onDurable] runs when the store has confirmed them. */
    fun append(records: List<JournalRecord>, onDurable: () -> Unit) {
        val position = records.map { journal.append(it) }.last()
        onDurableByPosition[position] = onDurable
        time.after(settings.linger) { write() }
    }

    private fun write() {
        val write = journal.poll() ?: return
        time.after(STORE_DELAY) {
            val progress = journal.onReply(store.put(write.key, write.value, ABSENT_VERSION, write.nonce))
            check(progress is JournalProgress.Durable) { "expected a durable segment, actual $progress" }
            val done = onDurableByPosition.headMap(progress.upTo, true)
            done.values.toList().also { done.clear() }.forEach { it() }
            time.after(settings.linger) { write() }
        }
    }

    private fun perform(decisions: List<ScheduleDecision>) {
        for (decision in decisions) {
            val onDispatch = onDispatchByCall.remove(decision.call) ?: continue
            check(decision is ScheduleDecision.Dispatch) { "expected a call without a deadline to run, actual $decision" }
            time.after(Duration.ZERO) { onDispatch(decision.endpoint) }
        }
    }

    private companion object {
        val STORE_DELAY = 4.milliseconds
    }
}
