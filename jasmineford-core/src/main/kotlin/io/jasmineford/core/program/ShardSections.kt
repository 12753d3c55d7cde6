package io.jasmineford.core.program

/**
 * State of shards from the journals that their map entries list.
 *
 * A section of a shard starts with a whole copy of the shard's state and is continued by the later records of the same
 * journal. The complete section with the highest owner epoch is the shard's state: an owner serves only after its
 * section is complete, and a later owner reads only after the one before was sealed or has released the shard.
 */
class ShardSections(
    private val shards: Set<Int>,
    private val shardOf: (ProgramId) -> Int,
) {
    private val best = HashMap<Int, Section>()
    private val open = HashMap<Int, Section>()
    private val complete = HashMap<Int, Section>()

    /** Programs of all shards, after all journals were read. */
    fun programs(): Map<ProgramId, ProgramState> = best.values.flatMap { it.programs.entries }.associate { it.key to it.value }

    /** Takes the next segment of the journal that is being read. */
    fun read(segment: Segment) = segment.records.forEach(::read)

    /** Ends the journal that is being read. */
    fun endOfJournal() {
        open.clear()
        for ((shard, section) in complete) {
            val known = best[shard]
            if (known == null || section.epoch > known.epoch) best[shard] = section
        }
        complete.clear()
    }

    private fun read(record: JournalRecord) {
        when (record) {
            is JournalRecord.ShardAdopting -> if (record.shard in shards) open[record.shard] = Section(record.epoch)

            is JournalRecord.ShardAdopted -> open.remove(record.shard)?.let { complete[record.shard] = it }

            is ProgramRecord -> {
                val shard = shardOf(record.program)
                (open[shard] ?: complete[shard])?.apply(record)
            }
        }
    }

    private class Section(val epoch: Long) {
        val programs = HashMap<ProgramId, ProgramState>()

        fun apply(record: ProgramRecord) {
            programs[record.program] = (programs[record.program] ?: ProgramState()).apply(record)
        }
    }
}
