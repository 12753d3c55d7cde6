package io.jasmineford.core.program

import io.jasmineford.core.lease.ShardOwner

/** Replays the journals listed in [owners] one by one, and seals those whose owner was lost without a hand-over. */
internal class ShardReplay(
    private val owners: Map<Int, ShardOwner>,
    skipped: Set<String>,
    private val ownJournal: String,
    private val minRevision: Long,
    shardOf: (ProgramId) -> Int,
    private val nonces: () -> String,
) {
    private val snapshots = ShardSnapshots(owners.keys, shardOf)
    private val remaining = ArrayDeque(owners.values.flatMap { it.journals }.distinct() - skipped)
    private val sealed = owners.values.filter { !it.isReleased }.flatMap { it.journals }.toSet() - ownJournal
    private var reader: JournalReader? = null

    /** Ownership epochs of the shards when the replay began. */
    val epochs: Map<Int, Long> get() = owners.mapValues { it.value.epoch }

    init {
        nextJournal()
    }

    /** Returns the next store call; null when all journals have been read. */
    fun step(): ReplayStep? = reader?.step()

    /** Passes a reply to the reader of the current journal. */
    fun onReply(take: JournalReader.() -> Unit) {
        reader?.take()
        if (reader?.isDone != true) return
        snapshots.endOfJournal()
        nextJournal()
    }

    /** Programs of the shards; complete once all journals have been read. */
    fun programs(): Map<ProgramId, ProgramState> = snapshots.programs()

    private fun nextJournal() {
        reader = remaining.removeFirstOrNull()?.let {
            JournalReader(it, it in sealed, minRevision, nonces, snapshots::read)
        }
    }
}
