package io.jasmineford.core.program

import com.github.michaelbull.result.Result
import io.jasmineford.store.ObjectPage
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject

/**
 * Lifecycle of the shards owned by one incarnation of a VM: takeover by journal replay, hand-over after draining, and
 * trimming of the journal.
 *
 * A shard is served once its programs were replayed from the journals in its map entry, its snapshot is durable in this
 * incarnation's own [journal] and the map lists only that journal. When the journal is fenced, all programs are removed
 * at once, since memory may hold turns that never became durable.
 *
 * @param trimSegments number of stored segments above which new snapshots of all shards are written and older segments
 *   are deleted.
 */
class ShardLifecycle(
    private val ownership: ShardOwnership,
    private val journal: Journal,
    private val registry: ProgramRegistry,
    private val shardOf: (ProgramId) -> Int,
    private val nonces: () -> String,
    private val trimSegments: Int = DEFAULT_TRIM_SEGMENTS,
) {
    private var replay: ShardReplay? = null
    private val pendingAdoptions = HashMap<Int, Adoption>()
    private val adoptedEpochs = HashMap<Int, Long>()
    private val journaledShards = HashSet<Int>()
    private val inFlight = HashMap<Int, Int>()
    private val draining = HashMap<Int, Long>()
    private var pendingTrim: Trim? = null

    /** Whether this VM may begin calls for [shard]. */
    fun isServing(shard: Int): Boolean {
        val owner = ownership.owners.getOrNull(shard) ?: return false
        val isAdopted = adoptedEpochs[shard] == owner.epoch && owner.journals == listOf(journal.id)
        return isAdopted && shard !in draining && !journal.isFenced && ownership.isActiveOwner(shard)
    }

    /** Checks [request] and begins its turn; null when this VM does not serve the program's shard. */
    fun begin(request: TurnRequest): TurnDecision? {
        val shard = shardOf(request.program)
        if (!isServing(shard)) return null
        val decision = registry.begin(request)
        if (decision is TurnDecision.Run) decision.opened?.let { journal.append(it) }
        return decision
    }

    /** Counts a call of [shard] as in flight, so that draining waits for it. */
    fun callBegan(shard: Int) {
        inFlight.merge(shard, 1, Int::plus)
    }

    /** Ends a call counted by [callBegan]. */
    fun callEnded(shard: Int) {
        inFlight.merge(shard, -1, Int::plus)
    }

    /** Returns the actions that are due. */
    fun poll(): List<ShardAction> {
        if (journal.isFenced) {
            dropAll()
            return emptyList()
        }
        dropLost()
        finishAdoptions()
        return listOfNotNull(replayStep(), journalListUpdate(), release(), trimStep())
    }

    /** Handles the reply to [ReplayStep.ListPage]. */
    fun onPage(step: ReplayStep, reply: Result<ObjectPage, StoreError>) = onStep(step) { onPage(reply) }

    /** Handles the reply to [ReplayStep.ReadNext]. */
    fun onRead(step: ReplayStep, reply: Result<StoredObject?, StoreError>) = onStep(step) { onRead(reply) }

    /** Handles the reply to [ReplayStep.Seal]. */
    fun onSealed(step: ReplayStep, reply: Result<StoredObject, StoreError>) = onStep(step) { onSealed(reply) }

    private fun onStep(step: ReplayStep, take: JournalReader.() -> Unit) {
        val current = replay ?: return
        if (current.step() != step) return
        current.onReply(take)
        if (current.step() == null) finishReplay(current)
    }

    private fun dropAll() {
        registry.removeIf { true }
        replay = null
        pendingAdoptions.clear()
        adoptedEpochs.clear()
    }

    private fun dropLost() {
        val owners = ownership.owners
        val lost = adoptedEpochs
            .filter { (shard, epoch) -> !ownership.isOwner(shard) || owners[shard].epoch != epoch }
            .keys.toSet()
        if (lost.isEmpty()) return
        adoptedEpochs.keys.removeAll(lost)
        draining.keys.removeAll(lost)
        registry.removeIf { shardOf(it) in lost }
    }

    private fun replayStep(): ShardAction? {
        if (replay == null) startReplay()
        val current = replay ?: return null
        val step = current.step()
        if (step == null) finishReplay(current)
        return step?.let { ShardAction.Replay(it) }
    }

    private fun startReplay() {
        val owners = ownership.owners
        val due = owners.indices.filter {
            val epoch = owners[it].epoch
            ownership.isActiveOwner(it) && adoptedEpochs[it] != epoch && pendingAdoptions[it]?.epoch != epoch
        }
        if (due.isEmpty()) return
        // A shard that was handed over and came back has records in the own journal, which must be durable before the
        // replay reads them.
        val hasOwnRecords = due.any { it in journaledShards }
        if (hasOwnRecords && !journal.isIdle) return
        val skipped = if (hasOwnRecords) emptySet() else setOf(journal.id)
        val dueOwners = due.associateWith { owners[it] }
        replay = ShardReplay(dueOwners, skipped, journal.id, ownership.mapRevision, shardOf, nonces)
    }

    private fun finishReplay(done: ShardReplay) {
        replay = null
        val programs = done.programs()
        for ((shard, epoch) in done.epochs) {
            if (!ownership.isActiveOwner(shard) || ownership.owners[shard].epoch != epoch) continue
            val ofShard = programs.filterKeys { shardOf(it) == shard }
            pendingAdoptions[shard] = Adoption(epoch, ofShard, writeSnapshot(shard, epoch, ofShard))
        }
    }

    /** Appends a snapshot of [shard] and returns the position of its last record. */
    private fun writeSnapshot(shard: Int, epoch: Long, programs: Map<ProgramId, ProgramState>): Long {
        journaledShards += shard
        journal.append(JournalRecord.ShardAdopting(shard, epoch))
        programs.forEach { (program, state) -> state.toCheckpoint(program).forEach { journal.append(it) } }
        return journal.append(JournalRecord.ShardAdopted(shard, epoch))
    }

    private fun finishAdoptions() {
        val done = pendingAdoptions.filterValues { it.position <= journal.durablePosition }
        for ((shard, adoption) in done) {
            pendingAdoptions.remove(shard)
            if (!ownership.isOwner(shard) || ownership.owners[shard].epoch != adoption.epoch) continue
            adoption.programs.forEach { (program, state) -> registry.restore(program, state) }
            adoptedEpochs[shard] = adoption.epoch
        }
    }

    private fun journalListUpdate(): ShardAction? {
        val owners = ownership.owners
        val due = adoptedEpochs.keys.filter { ownership.isActiveOwner(it) && owners[it].journals != listOf(journal.id) }
        return if (due.isEmpty()) null else ShardAction.DropReplayedJournals(due.toSet())
    }

    private fun release(): ShardAction? {
        val moving = ownership.shardsToHandOver().filter { it in draining || isServing(it) }.toSet()
        // A requested release may still take effect until the map has advanced past the epoch it was based on.
        draining.entries.removeIf { (shard, epoch) -> shard !in moving && ownership.mapEpoch > epoch }
        moving.forEach { draining.putIfAbsent(it, NOT_RELEASED) }
        // Records that are not yet durable would be missing from the new owner's replay.
        val drained = moving.filter { (inFlight[it] ?: 0) == 0 }.toSet()
        if (drained.isEmpty() || !journal.isIdle || drained.none(ownership::isActiveOwner)) return null
        drained.forEach { draining[it] = ownership.mapEpoch }
        return ShardAction.Release(drained)
    }

    private fun trimStep(): ShardAction? {
        val pending = pendingTrim
        if (pending == null) {
            if (journal.storedSegments > trimSegments && isTrimSafe()) pendingTrim = newSnapshots()
            return null
        }
        if (journal.durablePosition < pending.lastPosition) return null
        pendingTrim = null
        val obsolete = if (isTrimSafe()) journal.trimBefore(pending.firstPosition) else emptyList()
        return if (obsolete.isEmpty()) null else ShardAction.Delete(obsolete)
    }

    private fun newSnapshots(): Trim {
        val first = journal.appendedPosition + 1
        val programs = registry.states().entries.groupBy { shardOf(it.key) }
        for ((shard, epoch) in adoptedEpochs) {
            writeSnapshot(shard, epoch, programs[shard].orEmpty().associate { it.key to it.value })
        }
        return Trim(firstPosition = first, lastPosition = journal.appendedPosition)
    }

    /** Whether this journal is referenced only by shards that this VM serves. */
    private fun isTrimSafe(): Boolean {
        val users = ownership.owners.indices.filter { journal.id in ownership.owners[it].journals }
        return replay == null && pendingAdoptions.isEmpty() && users.isNotEmpty() && users.all(::isServing)
    }

    private class Adoption(val epoch: Long, val programs: Map<ProgramId, ProgramState>, val position: Long)

    private class Trim(val firstPosition: Long, val lastPosition: Long)

    private companion object {
        const val DEFAULT_TRIM_SEGMENTS = 256
        const val NOT_RELEASED = -1L
    }
}
