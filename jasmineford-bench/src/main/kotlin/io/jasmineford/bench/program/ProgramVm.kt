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

/** What a VM needs from the fleet. [lastIncarnation] is the newest one given to any VM. */
internal class ProgramWorld(
    val loop: EventLoop,
    val store: FaultyStore,
    val board: LeaseBoard,
    val shards: Int,
    val trimSegments: Int,
    val journal: JournalSettings,
    var lastIncarnation: Long = 0,
    var lastNonce: Long = 0,
) {
    /** A nonce that no other write has. */
    fun nonce(): String = "n${lastNonce++}"
}

/**
 * One process of a VM: the product's journal, book and keeping, driven in virtual time. Work that falls into a pause is
 * done after it.
 */
internal class ProgramVm(private val world: ProgramWorld, val name: String, clockOffset: Duration) {
    /** This VM's own clock; its origin differs from that of every other VM. */
    val clock = MonotonicClock { world.loop.clock.now() + clockOffset }
    private val waiters = ArrayList<Waiter>()
    private var incarnation = 0L
    private var leaseUntil = Duration.ZERO
    private var map = ShardMap()
    private var mapRevision = 0L
    private var isWriting = false
    private var isReplaying = false
    private var isReading = false
    private var isMapWriting = false

    /** False after a crash. */
    var isAlive = true

    /** Nothing runs before this time. */
    var pausedUntil = Duration.ZERO

    /** True after a planned stop began. */
    var isLeaving = false

    /** Journal of the current incarnation. */
    lateinit var journal: Journal
        private set

    /** Programs kept here. */
    lateinit var book: ProgramRegistry
        private set

    /** Keeping of the current incarnation. */
    lateinit var keeping: ShardLifecycle
        private set

    init {
        startAnew()
        every(TICK) { tick() }
        every(RENEW_EVERY) { renew() }
        every(READ_EVERY) { readMap() }
    }

    /** Shard of [program]. */
    fun shardOf(program: ProgramId): Int = shardOf(program.shardName, world.shards)

    /** Runs [action] here after [delay], later when the VM is paused then, and never when it crashed. */
    fun after(delay: Duration, action: () -> Unit) = world.loop.after(delay) { run(action) }

    /** Calls [onEnd] with true when all records appended so far are durable, with false when the journal is fenced. */
    fun whenDurable(onEnd: (Boolean) -> Unit) {
        waiters += Waiter(journal, journal.appendedPosition, onEnd)
        finishWaiters()
    }

    /** Whether this VM may still act for [program] under the incarnation of [began]. */
    fun mayAct(program: ProgramId, began: Journal): Boolean =
        began === journal && !journal.isFenced && Rights(incarnation).isActiveOwner(shardOf(program))

    private fun run(action: () -> Unit) {
        val now = world.loop.clock.now()
        when {
            !isAlive -> Unit
            now < pausedUntil -> world.loop.after(pausedUntil - now) { run(action) }
            else -> action()
        }
    }

    private fun every(interval: Duration, action: () -> Unit) {
        after(interval) {
            action()
            every(interval, action)
        }
    }

    private fun startAnew() {
        incarnation = ++world.lastIncarnation
        leaseUntil = Duration.ZERO
        val id = journalId(name, incarnation)
        journal = Journal(id, world.journal, clock, world::nonce)
        book = ProgramRegistry(clock)
        keeping = ShardLifecycle(Rights(incarnation), journal, book, ::shardOf, world::nonce, world.trimSegments)
        isWriting = false
        isReplaying = false
        val registered = incarnation
        world.loop.after(1.milliseconds) { if (name !in world.store.partitioned) register(registered) }
    }

    private fun register(incarnation: Long) = world.board.register(name, incarnation, isLeaving)

    private fun renew() {
        val sentAt = clock.now()
        val current = incarnation
        if (name in world.store.partitioned || world.store.fake.isDown) return
        if (world.board.live().none { it.identity.vm == name && it.incarnation >= current }) {
            // Revoked, or the registration was lost: every right of this incarnation has ended.
            startAnew()
        } else if (world.board.renew(name, current)) {
            register(current)
            leaseUntil = sentAt + LeaseBoard.TIME_TO_LIVE
        }
    }

    private fun readMap() {
        if (isReading) return
        isReading = true
        world.store.send(name, { get(SHARD_MAP_KEY) }) { reply ->
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
        if (journal.isFenced) startAnew()
        keeping.poll().forEach(::perform)
        if (!isWriting) (journal.outstanding() ?: journal.poll())?.let(::write)
        finishWaiters()
    }

    private fun write(write: SegmentWrite) {
        val target = journal
        isWriting = true
        world.store.send(name, { put(write.key, write.value, ABSENT_VERSION, write.nonce) }) { reply ->
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
                world.store.send(name, { delete(dead.key, dead.version) }) { }
            }
        }
    }

    private fun reduced(owner: ShardOwner) = owner.copy(journals = listOf(journal.id), isReleased = false)

    private fun targets() = world.board.live().let { live ->
        live.firstOrNull { it.identity.vm == name }?.let { shardsToHandOver(map.shards, live, it) }.orEmpty()
    }

    private fun changeMap(change: (List<ShardOwner>) -> List<ShardOwner>) {
        if (isMapWriting) return
        isMapWriting = true
        val value = leaseJson.encodeToString(ShardMap(map.epoch + 1, change(map.shards)))
        val expected = mapRevision
        val nonce = world.nonce()
        world.store.send(name, { put(SHARD_MAP_KEY, value, expected, nonce) }) {
            run {
                isMapWriting = false
                readMap()
            }
        }
    }

    private fun replay(step: ReplayStep) {
        if (isReplaying) return
        isReplaying = true
        val target = keeping
        fun ended() {
            if (target !== keeping) return
            isReplaying = false
            tick()
        }
        when (step) {
            is ReplayStep.ListPage -> world.store.send(name, { list(step.prefix, step.limit, step.token) }) { reply ->
                run { target.onPage(step, reply).also { ended() } }
            }

            is ReplayStep.ReadNext -> world.store.send(name, { get(step.key) }) { reply ->
                run { target.onRead(step, reply).also { ended() } }
            }

            is ReplayStep.Seal -> {
                val write = step.write
                world.store.send(name, { put(write.key, write.value, ABSENT_VERSION, write.nonce) }) { reply ->
                    run { target.onSealed(step, reply).also { ended() } }
                }
            }
        }
    }

    private class Waiter(val journal: Journal, val position: Long, val onEnd: (Boolean) -> Unit)

    private inner class Rights(private val granted: Long) : ShardOwnership {
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
