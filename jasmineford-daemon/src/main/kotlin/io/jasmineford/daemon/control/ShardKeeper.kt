package io.jasmineford.daemon.control

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.journalId
import io.jasmineford.core.lease.shardOf
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalRecord
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.ProgramBook
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.ProgramState
import io.jasmineford.core.program.apply
import io.jasmineford.core.program.shardName
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.event
import io.jasmineford.daemon.warnEvent
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.describe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Keeps the programs of this VM's shards: takes shards over by replay, hands them over after a drain, and drops all when
 * the VM lost its rights. All functions run on the control thread.
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
    private val replay = ShardReplay(store, nonces)
    private val inFlight = HashMap<Int, Int>()
    private val draining = HashSet<Int>()
    private var incarnation = membership.incarnation

    /** Programs of this VM's shards. */
    val book = ProgramBook(clock)

    /** Journal of this incarnation. */
    var journal: JournalDriver = openJournal()
        private set

    /** Takes shards over and hands them over until the scope is cancelled. */
    fun start() = scope.launch {
        while (true) {
            if (membership.incarnation != incarnation) startAnew()
            dropLostShards()
            takeOver()
            handOver()
            delay(POLL_INTERVAL)
        }
    }

    /** Shard of [program]. */
    fun shardOf(program: ProgramId): Int = shardOf(program.shardName, shards)

    /** Whether this VM keeps [shard] and may begin calls for it. */
    fun isServing(shard: Int): Boolean =
        membership.isServable(shard) && shard !in draining && !journal.journal.isFenced

    /** Counts a call of [shard] as in flight, so that a drain waits for it. */
    fun callBegan(shard: Int) {
        inFlight.merge(shard, 1, Int::plus)
    }

    /** Ends what [callBegan] began. */
    fun callEnded(shard: Int) {
        inFlight.merge(shard, -1, Int::plus)
    }

    /** True when no shard is left to hand over. */
    fun isEmpty(): Boolean = membership.ownShards().isEmpty()

    private fun openJournal(): JournalDriver {
        val machine = Journal(journalId(vm, incarnation), journalSettings, clock, nonces)
        return JournalDriver(scope, store, machine).also { it.start() }
    }

    private fun startAnew() {
        log.warnEvent("incarnation_replaced", "before" to incarnation, "after" to membership.incarnation)
        incarnation = membership.incarnation
        book.dropIf { true }
        draining.clear()
        journal = openJournal()
    }

    private fun dropLostShards() {
        val own = membership.ownShards().toSet()
        draining.retainAll(own)
        book.dropIf { shardOf(it) !in own }
    }

    private suspend fun takeOver() {
        val due = membership.ownShards().filter { membership.mayAct(it) && !membership.isServable(it) }
        if (due.isEmpty()) return
        val startedAt = clock.now()
        val own = journalId(vm, incarnation)
        val owners = due.associateWith { membership.map.shards[it] }
        // A shard that was never owned before has no journal but this VM's own.
        val journals = owners.values.flatMap { it.journals }.distinct().filter { it != own }
        val sealed = owners.values.filter { !it.isReleased }.flatMap { it.journals }.toSet()
        val programs = HashMap<ProgramId, ProgramState>()
        for (id in journals) {
            val records = replay.read(id, seal = id in sealed).fold(
                success = { it },
                failure = {
                    log.warnEvent("replay_failed", "journal" to id, "problem" to it.describe())
                    return
                },
            )
            records.filter { shardOf(it.program) in owners }.forEach { record ->
                programs[record.program] = (programs[record.program] ?: ProgramState()).apply(record)
            }
        }
        finishTakeOver(due.toSet(), programs, startedAt)
    }

    private suspend fun finishTakeOver(due: Set<Int>, programs: Map<ProgramId, ProgramState>, startedAt: Duration) {
        val checkpoints = programs.map { (program, state) -> JournalRecord.Checkpoint(program, state) }
        if (journal.append(checkpoints, STORE_PATIENCE) != Durability.DURABLE) return
        val still = due.filter { membership.mayAct(it) }.toSet()
        programs.filterKeys { shardOf(it) in still }.forEach { (program, state) -> book.adopt(program, state) }
        membership.journalsReplayed(still)?.let { driver.perform(it) }
        while (still.any { membership.mayAct(it) && !membership.isServable(it) } && clock.now() - startedAt < STORE_PATIENCE) {
            delay(POLL_INTERVAL)
        }
        log.event(
            "shards_taken_over",
            "shards" to still.size,
            "programs" to programs.size,
            "ms" to (clock.now() - startedAt).inWholeMilliseconds,
        )
    }

    private suspend fun handOver() {
        val moving: Map<Int, Lease> = membership.shardsToHandOver().filterKeys { membership.isServable(it) }
        if (moving.isEmpty()) return
        draining += moving.keys
        val drained = moving.filterKeys { (inFlight[it] ?: 0) == 0 }
        if (drained.isEmpty()) return
        membership.release(drained)?.let { driver.perform(it) }
        delay(POLL_INTERVAL)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val POLL_INTERVAL = 20.milliseconds
        val STORE_PATIENCE = 5.seconds
    }
}
