package io.jasmineford.bench.program

import com.github.michaelbull.result.get
import io.jasmineford.core.lease.SHARD_MAP_KEY
import io.jasmineford.core.lease.ShardMap
import io.jasmineford.core.lease.ShardOwner
import io.jasmineford.core.lease.handOver
import io.jasmineford.core.lease.journalId
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.core.lease.shardOf
import io.jasmineford.core.lease.shardsToHandOver
import io.jasmineford.core.program.Journal
import io.jasmineford.core.program.JournalProgress
import io.jasmineford.core.program.JournalSettings
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.ProgramRegistry
import io.jasmineford.core.program.ReplayStep
import io.jasmineford.core.program.SegmentWrite
import io.jasmineford.core.program.ShardAction
import io.jasmineford.core.program.ShardLifecycle
import io.jasmineford.core.program.ShardOwnership
import io.jasmineford.core.program.shardName
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.ABSENT_VERSION
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** State shared by all VMs of a schedule. [lastIncarnation] is the highest incarnation given to any VM. */
internal class SimulationContext(
    val loop: EventLoop,
    val store: FaultyStore,
    val leases: LeaseRegistry,
    val shards: Int,
    val trimSegments: Int,
    val journal: JournalSettings,
    var lastIncarnation: Long = 0,
    var lastNonce: Long = 0,
) {
    /** Returns a unique nonce for a store write. */
    fun nonce(): String = "n${lastNonce++}"
}

/**
 * One process of a VM with the product's journal, program state and shard state machines, driven in virtual time. Work
 * that is due during a pause runs after it.
 */
internal class ProgramVm(private val context: SimulationContext, val name: String, clockOffset: Duration) {
    /** Monotonic clock of this VM, with an origin of its own. */
    val clock = MonotonicClock { context.loop.clock.now() + clockOffset }
    private val waiters = ArrayList<Waiter>()
    private var incarnation = 0L
    private var leaseUntil = Duration.ZERO
    private var map = ShardMap()
    private var mapRevision = 0L
    private var isWriting = false
    private var isReplaying = false
    private var isReading = false
    private var isMapWriting = false

    /** False after a crash; a crashed process runs nothing any more. */
    var isAlive = true

    /** End of the current pause; nothing runs before it. */
    var pausedUntil = Duration.ZERO

    /** True while a planned stop is in progress. */
    var isLeaving = false

    /** Journal of the current incarnation. */
    lateinit var journal: Journal
        private set

    /** Programs that this incarnation owns. */
    lateinit var registry: ProgramRegistry
        private set

    /** Shard lifecycle of the current incarnation. */
    lateinit var lifecycle: ShardLifecycle
        private set

    init {
        startIncarnation()
        every(TICK) { tick() }
        every(RENEW_EVERY) { renew() }
        every(READ_EVERY) { readMap() }
    }

    /** Shard of [program]. */
    fun shardOf(program: ProgramId): Int = shardOf(program.shardName, context.shards)

    /** Runs [action] after [delay], or after the pause if the VM is paused then; not at all after a crash. */
    fun after(delay: Duration, action: () -> Unit) = context.loop.after(delay) { run(action) }

    /** Calls [onEnd] with true once all records appended so far are durable, or false if the journal is fenced. */
    fun whenDurable(onEnd: (Boolean) -> Unit) {
        waiters += Waiter(journal, journal.appendedPosition, onEnd)
        finishWaiters()
    }

    /** Whether this VM still owns [program] in the incarnation that created [startJournal]. */
    fun isActiveOwner(program: ProgramId, startJournal: Journal): Boolean =
        startJournal === journal && !journal.isFenced && GrantedOwnership(incarnation).isActiveOwner(shardOf(program))

    private fun run(action: () -> Unit) {
        val now = context.loop.clock.now()
        when {
            !isAlive -> Unit
            now < pausedUntil -> context.loop.after(pausedUntil - now) { run(action) }
            else -> action()
        }
    }

    private fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            action()
            every(interval, action)
        }
    }

    private fun startIncarnation() {
        incarnation = ++context.lastIncarnation
        leaseUntil = Duration.ZERO
        val id = journalId(name, incarnation)
        journal = Journal(id, context.journal, clock, context::nonce)
        registry = ProgramRegistry(clock)
        val ownership = GrantedOwnership(incarnation)
        lifecycle = ShardLifecycle(ownership, journal, registry, ::shardOf, context::nonce, context.trimSegments)
        isWriting = false
        isReplaying = false
        val registered = incarnation
        context.loop.after(1.milliseconds) { if (name !in context.store.partitioned) register(registered) }
    }

    private fun register(incarnation: Long) = context.leases.register(name, incarnation, isLeaving)

    private fun renew() {
        val sentAt = clock.now()
        val current = incarnation
        if (name in context.store.partitioned || context.store.fake.isDown) return
        if (context.leases.live().none { it.identity.vm == name && it.incarnation >= current }) {
            // The lease was revoked or its registration was lost: this incarnation owns no shard any more.
            startIncarnation()
        } else if (context.leases.renew(name, current)) {
            register(current)
            leaseUntil = sentAt + LeaseRegistry.TIME_TO_LIVE
        }
    }

    private fun readMap() {
        if (isReading) return
        isReading = true
        context.store.send(name, { get(SHARD_MAP_KEY) }) { reply ->
            run {
                isReading = false
                val stored = reply.get()
                if (stored != null && stored.version > mapRevision) {
                    mapRevision = stored.version
                    map = decodeMap(stored)
                }
            }
        }
    }

    private fun tick() {
        if (journal.isFenced) startIncarnation()
        lifecycle.poll().forEach(::perform)
        if (!isWriting) (journal.outstanding() ?: journal.poll())?.let(::write)
        finishWaiters()
    }

    private fun write(write: SegmentWrite) {
        val target = journal
        isWriting = true
        context.store.send(name, { put(write.key, write.value, ABSENT_VERSION, write.nonce) }) { reply ->
            run {
                if (target !== journal) return@run
                isWriting = false
                val progress = target.onReply(reply)
                if (progress !is JournalProgress.Retry) tick()
            }
        }
    }

    private fun finishWaiters() {
        val done = waiters.filter {
            it.journal !== journal || journal.isFenced || it.position <= journal.durablePosition
        }
        waiters.removeAll(done)
        done.forEach { it.onEnd(it.position <= it.journal.durablePosition) }
    }

    private fun perform(action: ShardAction) {
        when (action) {
            is ShardAction.Replay -> replay(action.step)
            is ShardAction.DropReplayedJournals -> changeMap { owners ->
                owners.mapIndexed { shard, owner -> if (shard in action.shards) reduced(owner) else owner }
            }

            is ShardAction.Release -> changeMap { owners ->
                handOver(owners, targets().filterKeys { it in action.shards }, map.epoch + 1)
            }

            is ShardAction.Delete -> action.objects.forEach { dead ->
                context.store.send(name, { delete(dead.key, dead.version) }) { }
            }
        }
    }

    private fun reduced(owner: ShardOwner) = owner.copy(journals = listOf(journal.id), isReleased = false)

    private fun targets() = context.leases.live().let { live ->
        live.firstOrNull { it.identity.vm == name }?.let { shardsToHandOver(map.shards, live, it) }.orEmpty()
    }

    private fun changeMap(change: (List<ShardOwner>) -> List<ShardOwner>) {
        if (isMapWriting) return
        isMapWriting = true
        val value = leaseJson.encodeToString(ShardMap(map.epoch + 1, change(map.shards)))
        val expected = mapRevision
        val nonce = context.nonce()
        context.store.send(name, { put(SHARD_MAP_KEY, value, expected, nonce) }) {
            run {
                isMapWriting = false
                readMap()
            }
        }
    }

    private fun replay(step: ReplayStep) {
        if (isReplaying) return
        isReplaying = true
        val target = lifecycle
        fun ended() {
            if (target !== lifecycle) return
            isReplaying = false
            tick()
        }
        when (step) {
            is ReplayStep.ListPage -> context.store.send(name, { list(step.prefix, step.limit, step.token) }) { reply ->
                run { target.onPage(step, reply).also { ended() } }
            }

            is ReplayStep.ReadNext -> context.store.send(name, { get(step.key) }) { reply ->
                run { target.onRead(step, reply).also { ended() } }
            }

            is ReplayStep.Seal -> {
                val write = step.write
                context.store.send(name, { put(write.key, write.value, ABSENT_VERSION, write.nonce) }) { reply ->
                    run { target.onSealed(step, reply).also { ended() } }
                }
            }
        }
    }

    private class Waiter(val journal: Journal, val position: Long, val onEnd: (Boolean) -> Unit)

    private inner class GrantedOwnership(private val granted: Long) : ShardOwnership {
        override val mapEpoch: Long get() = map.epoch
        override val mapRevision: Long get() = this@ProgramVm.mapRevision
        override val owners: List<ShardOwner> get() = map.shards

        override fun isOwner(shard: Int): Boolean =
            owners.getOrNull(shard)?.let { it.vm == name && it.incarnation == granted } == true

        override fun isActiveOwner(shard: Int): Boolean =
            granted == incarnation && isOwner(shard) && clock.now() < leaseUntil

        override fun shardsToHandOver(): Set<Int> = targets().keys
    }

    private companion object {
        val TICK = 20.milliseconds
        val RENEW_EVERY = 300.milliseconds
        val READ_EVERY = 150.milliseconds
    }
}
