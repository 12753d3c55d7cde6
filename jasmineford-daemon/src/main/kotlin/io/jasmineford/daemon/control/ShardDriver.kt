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
 * Runs [ShardLifecycle] and the journal for the current incarnation of this VM: takes over shards by replaying their
 * journals, starts program turns on them and hands them over. All functions run on the control thread.
 */
class ShardDriver(
    private val vm: String,
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val membership: Membership,
    private val membershipDriver: MembershipDriver,
    private val clock: MonotonicClock,
    private val journalSettings: JournalSettings,
    private val shards: Int,
    private val newNonce: () -> String,
) {
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var incarnation = membership.incarnation
    private var isReplaying = false

    /** Programs of the shards that this VM owns. */
    val registry = ProgramRegistry(clock)

    /** Journal of this incarnation. */
    var journal: JournalDriver = newJournal()
        private set

    private var shardLifecycle = newShardLifecycle()

    /** Takes over and hands over shards until the scope is cancelled. */
    fun start() = scope.launch {
        launch { removeEndedPrograms() }
        while (true) {
            if (journal.journal.isFenced && membership.incarnation == incarnation) membership.endIncarnation()
            if (membership.incarnation != incarnation) switchIncarnation()
            shardLifecycle.poll().forEach(::perform)
            journal.wakeWriter()
            withTimeoutOrNull(POLL_INTERVAL) { wake.receive() }
        }
    }

    /** Shard of [program]. */
    fun shardOf(program: ProgramId): Int = shardOf(program.shardName, shards)

    /** Whether this VM owns [shard], has replayed its journals and may begin calls for it. */
    fun isServing(shard: Int): Boolean = membership.incarnation == incarnation && shardLifecycle.isServing(shard)

    /**
     * Whether the turn of [ticket] is still in flight here and this VM still owns its shard, so that the call may be
     * sent.
     */
    fun mayDispatch(ticket: TurnTicket): Boolean =
        !journal.journal.isFenced && membership.isActiveOwner(shardOf(ticket.program)) && registry.isInFlight(ticket)

    /** Checks [request] and begins its turn; null when this VM doesn't serve the program's shard. */
    fun begin(request: TurnRequest): TurnDecision? =
        if (isServing(shardOf(request.program))) shardLifecycle.begin(request) else null

    /** Appends [record] without waiting until it is durable; does nothing when the journal is fenced. */
    fun appendWithoutWaiting(record: JournalRecord?) {
        if (record == null || journal.journal.isFenced) return
        journal.journal.append(record)
        journal.wakeWriter()
    }

    /**
     * Appends [records] and waits until they are durable. They must have been taken from [registry] without suspending
     * since, so that they belong to the current incarnation.
     */
    suspend fun append(records: List<JournalRecord>, timeout: Duration): Durability = journal.append(records, timeout)

    /** Counts a call of [shard] as in flight until [InFlightCall.end]; a hand-over of the shard waits for it. */
    fun beginCall(shard: Int): InFlightCall =
        InFlightCall(shardLifecycle, shard).also { shardLifecycle.callBegan(shard) }

    /** True when this VM owns no shard. */
    fun ownsNoShards(): Boolean = membership.ownShards().isEmpty()

    private suspend fun removeEndedPrograms() {
        while (true) {
            delay(ENDED_PROGRAMS_INTERVAL)
            registry.removeExpired()
        }
    }

    private fun newJournal(): JournalDriver {
        val state = Journal(journalId(vm, incarnation), journalSettings, clock, newNonce)
        return JournalDriver(scope, store, state) { wake.trySend(Unit) }.also { it.start() }
    }

    private fun newShardLifecycle() = ShardLifecycle(
        ownership = MembershipRights(membership, vm, incarnation),
        journal = journal.journal,
        registry = registry,
        shardOf = ::shardOf,
        nonces = newNonce,
    )

    private fun switchIncarnation() {
        log.warnEvent("incarnation_replaced", "before" to incarnation, "after" to membership.incarnation)
        incarnation = membership.incarnation
        registry.removeIf { true }
        journal = newJournal()
        shardLifecycle = newShardLifecycle()
    }

    private fun perform(action: ShardAction) {
        when (action) {
            is ShardAction.Replay -> replay(action.step)
            is ShardAction.DropReplayedJournals ->
                membership.journalsReplayed(action.shards)?.let { membershipDriver.perform(it) }

            is ShardAction.Release -> {
                val moved = membership.shardsToHandOver().filterKeys { it in action.shards }
                membership.release(moved)?.let { membershipDriver.perform(it) }
            }

            is ShardAction.Delete -> scope.launch { action.objects.forEach { store.delete(it.key, it.version) } }
        }
    }

    private fun replay(step: ReplayStep) {
        if (isReplaying) return
        isReplaying = true
        val target = shardLifecycle
        scope.launch {
            val error = when (step) {
                is ReplayStep.ListPage -> store.list(step.prefix, step.limit, step.token)
                    .also { target.onPage(step, it) }.getError()

                is ReplayStep.ReadNext -> store.get(step.key).also { target.onRead(step, it) }.getError()

                is ReplayStep.Seal -> store.put(step.write.key, step.write.value, ABSENT_VERSION, step.write.nonce)
                    .also { target.onSealed(step, it) }.getError()
            }
            // A conflict at the seal is progress too, so only an unavailable store needs a pause before the next step.
            if (error is StoreError.Unavailable) delay(POLL_INTERVAL)
            isReplaying = false
            wake.trySend(Unit)
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val POLL_INTERVAL = 20.milliseconds
        val ENDED_PROGRAMS_INTERVAL = 1.minutes
    }
}

/** A call in flight that a hand-over of its shard waits for. It counts for the incarnation in which it began. */
class InFlightCall internal constructor(private val shardLifecycle: ShardLifecycle, private val shard: Int) {
    /** Ends the call. */
    fun end() = shardLifecycle.callEnded(shard)
}
