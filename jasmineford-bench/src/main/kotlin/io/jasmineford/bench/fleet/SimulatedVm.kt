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
import io.jasmineford.core.program.ProgramBook
import io.jasmineford.core.program.Usage
import io.jasmineford.core.schedule.CallScheduler
import io.jasmineford.core.schedule.QueuedCall
import io.jasmineford.core.schedule.ScheduleDecision
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** One entry VM: the product's own state machines, driven in virtual time as the daemon drives them. */
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
    private val durable = TreeMap<Long, () -> Unit>()
    private val dispatched = HashMap<Long, (Endpoint) -> Unit>()
    private var nextCall = 1L

    /** Configuration in force on this VM. */
    val configuration = ConfigurationHolder(time.clock, maxProofAge = Duration.INFINITE)

    /** Programs that this VM keeps. */
    val book = ProgramBook(time.clock)

    /** Takes [next] into force, as the daemon's endpoint queue does. */
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

    /** Queues [call]; [onDispatch] runs when it gets an endpoint. Returns its id for [finished]. */
    fun submit(call: QueuedCall, onDispatch: (Endpoint) -> Unit): Long {
        val id = nextCall++
        dispatched[id] = onDispatch
        perform(scheduler.submit(call.copy(id = id)))
        return id
    }

    /** Tells the scheduler of the first token of [call]. */
    fun firstToken(call: Long) = scheduler.firstToken(call)

    /** Frees the slot of [call]. */
    fun finished(call: Long, usage: Usage) = perform(scheduler.finished(call, usage))

    /** Appends [records]; [onDurable] runs when the store has confirmed them. */
    fun append(records: List<JournalRecord>, onDurable: () -> Unit) {
        val position = records.map { journal.append(it) }.last()
        durable[position] = onDurable
        time.after(settings.linger) { write() }
    }

    private fun write() {
        val write = journal.poll() ?: return
        time.after(STORE_DELAY) {
            val progress = journal.onReply(store.put(write.key, write.value, ABSENT_VERSION, write.nonce))
            check(progress is JournalProgress.Durable) { "expected a durable segment, actual $progress" }
            val done = durable.headMap(progress.upTo, true)
            done.values.toList().also { done.clear() }.forEach { it() }
            time.after(settings.linger) { write() }
        }
    }

    private fun perform(decisions: List<ScheduleDecision>) {
        for (decision in decisions) {
            val waiter = dispatched.remove(decision.call) ?: continue
            check(decision is ScheduleDecision.Dispatch) { "expected a call without a deadline to run, actual $decision" }
            time.after(Duration.ZERO) { waiter(decision.endpoint) }
        }
    }

    private companion object {
        val STORE_DELAY = 4.milliseconds
    }
}
