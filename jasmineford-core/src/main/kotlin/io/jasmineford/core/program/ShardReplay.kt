package io.jasmineford.core.program

import io.jasmineford.core.lease.ShardOwner

/** Reads the journals of [owners] one after the other and seals those whose owner lost its lease. */
internal class ShardReplay(
    private val owners: Map<Int, ShardOwner>,
    skipped: Set<String>,
    private val ownJournal: String,
    private val minRevision: Long,
    shardOf: (ProgramId) -> Int,
    private val nonces: () -> String,
) {
    private val sections = ShardSections(owners.keys, shardOf)
    private val waiting = ArrayDeque(owners.values.flatMap { it.journals }.distinct() - skipped)
    private val sealed = owners.values.filter { !it.isReleased }.flatMap { it.journals }.toSet() - ownJournal
    private var reader: JournalReader? = null

    /** Owner epochs of the shards when the replay began. */
    val epochs: Map<Int, Long> get() = owners.mapValues { it.value.epoch }

    init {
        nextJournal()
    }

    /** The store call to make next; null when all journals were read. */
    fun step(): ReplayStep? = reader?.step()

    /** Hands a reply to the reader of the current journal. */
    fun onReply(take: JournalReader.() -> Unit) {
        reader?.take()
        if (reader?.isDone != true) return
        sections.endOfJournal()
        nextJournal()
    }

    /** Programs of the shards, after all journals were read. */
    fun programs(): Map<ProgramId, ProgramState> = sections.programs()

    private fun nextJournal() {
        reader = waiting.removeFirstOrNull()?.let { JournalReader(it, it in sealed, minRevision, nonces, sections::read) }
    }
}
