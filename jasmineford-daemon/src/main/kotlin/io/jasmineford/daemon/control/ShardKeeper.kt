package io.jasmineford.daemon.control

import com.github.michaelbull.result.getError
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.journalId
import io.jasmineford.core.lease.shardOf
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalRecord
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.ProgramRegistry
import io.jasmineford.core.program.ReplayStep
import io.jasmineford.core.program.ShardAction
import io.jasmineford.core.program.ShardLifecycle
import io.jasmineford.core.program.TurnDecision
import io.jasmineford.core.program.TurnRequest
import io.jasmineford.core.program.TurnTicket
import io.jasmineford.core.program.shardName
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.warnEvent
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Drives [ShardLifecycle] and the journal of this VM's current incarnation. All functions run on the control thread.
 */
class ShardKeeper(
    private val vm: String,
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val membership: Membership,
    private val driver: MembershipDriver,
    private val clock: MonotonicClock,
    private val journalSettings: JournalSettings,
    private val shards: Int,
    private val nonces: () -> String,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var incarnation = membership.incarnation
    private var isReplaying = false

    /** Programs of this VM's shards. */
    val book = ProgramRegistry(clock)

    /** Journal of this incarnation. */
    var journal: JournalDriver = openJournal()
        private set

    private var keeping = openKeeping()

    /** Takes shards over and hands them over until the scope is cancelled. */
    fun start() = scope.launch {
        launch { forgetEnded() }
        while (true) {
            if (journal.journal.isFenced && membership.incarnation == incarnation) membership.endIncarnation()
            if (membership.incarnation != incarnation) startAnew()
            keeping.poll().forEach(::perform)
            journal.recordsAppended()
            withTimeoutOrNull(POLL_INTERVAL) { wake.receive() }
        }
    }

    /** Shard of [program]. */
    fun shardOf(program: ProgramId): Int = shardOf(program.shardName, shards)

    /** Whether this VM keeps [shard] and may begin calls for it. */
    fun isServing(shard: Int): Boolean = membership.incarnation == incarnation && keeping.isServing(shard)

    /** Whether the right to act for the program of [ticket] has lasted since the ticket was given. */
    fun mayDispatch(ticket: TurnTicket): Boolean =
        !journal.journal.isFenced && membership.isActiveOwner(shardOf(ticket.program)) && book.isInFlight(ticket)

    /** Checks [request] and begins its turn; null when this VM does not serve the program's shard. */
    fun begin(request: TurnRequest): TurnDecision? = if (isServing(shardOf(request.program))) keeping.begin(request) else null

    /** Appends a record that needs no wait, unless the journal is fenced. */
    fun note(record: JournalRecord?) {
        if (record == null || journal.journal.isFenced) return
        journal.journal.append(record)
        journal.recordsAppended()
    }

    /** Appends [records] and waits; the records must come from this incarnation's [book] in the same step. */
    suspend fun append(records: List<JournalRecord>, timeout: Duration): Durability = journal.append(records, timeout)

    /** Counts a call of [shard] as in flight, so that a drain waits for it. */
    fun callBegan(shard: Int): CallCount = CallCount(keeping, shard).also { keeping.callBegan(shard) }

    /** True when no shard is left to hand over. */
    fun isEmpty(): Boolean = membership.ownShards().isEmpty()

    private suspend fun forgetEnded() {
        while (true) {
            delay(FORGET_INTERVAL)
            book.removeExpired()
        }
    }

    private fun openJournal(): JournalDriver {
        val machine = Journal(journalId(vm, incarnation), journalSettings, clock, nonces)
        return JournalDriver(scope, store, machine) { wake.trySend(Unit) }.also { it.start() }
    }

    private fun openKeeping() = ShardLifecycle(
        ownership = MembershipRights(membership, vm, incarnation),
        journal = journal.journal,
        registry = book,
        shardOf = ::shardOf,
        nonces = nonces,
    )

    private fun startAnew() {
        log.warnEvent("incarnation_replaced", "before" to incarnation, "after" to membership.incarnation)
        incarnation = membership.incarnation
        book.removeIf { true }
        journal = openJournal()
        keeping = openKeeping()
    }

    private fun perform(action: ShardAction) {
        when (action) {
            is ShardAction.Replay -> replay(action.step)
            is ShardAction.DropReplayedJournals ->
                membership.journalsReplayed(action.shards)?.let { driver.perform(it) }

            is ShardAction.Release -> {
                val moved = membership.shardsToHandOver().filterKeys { it in action.shards }
                membership.release(moved)?.let { driver.perform(it) }
            }

            is ShardAction.Delete -> scope.launch { action.objects.forEach { store.delete(it.key, it.version) } }
        }
    }

    private fun replay(step: ReplayStep) {
        if (isReplaying) return
        isReplaying = true
        val target = keeping
        scope.launch {
            val error = when (step) {
                is ReplayStep.ListPage -> store.list(step.prefix, step.limit, step.token)
                    .also { target.onPage(step, it) }.getError()

                is ReplayStep.ReadNext -> store.get(step.key).also { target.onRead(step, it) }.getError()

                is ReplayStep.Seal -> store.put(step.write.key, step.write.value, ABSENT_VERSION, step.write.nonce)
                    .also { target.onSealed(step, it) }.getError()
            }
            // A seal that conflicts is progress too; only a store that does not answer needs a pause.
            if (error is StoreError.Unavailable) delay(POLL_INTERVAL)
            isReplaying = false
            wake.trySend(Unit)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val POLL_INTERVAL = 20.milliseconds
        val FORGET_INTERVAL = 1.minutes
    }
}

/** A call that a drain of its shard waits for. It counts at the incarnation that it began under. */
class CallCount internal constructor(private val keeping: ShardLifecycle, private val shard: Int) {
    /** Ends the count. */
    fun end() = keeping.callEnded(shard)
}
