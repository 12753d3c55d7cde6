package io.jasmineford.core.program

/**
 * Restores the state of shards from the journals listed in their map entries.
 *
 * A journal holds a shard as a complete snapshot followed by later records. The complete snapshot with the highest
 * ownership epoch, with its later records, is the shard's state: an owner serves only after its snapshot is complete,
 * and its successor reads only after the journal was sealed or the shard was released.
 */
class ShardSnapshots(
    private val shards: Set<Int>,
    private val shardOf: (ProgramId) -> Int,
) {
    private val latest = HashMap<Int, Snapshot>()
    private val open = HashMap<Int, Snapshot>()
    private val complete = HashMap<Int, Snapshot>()

    /** Programs of all shards; complete once all journals have been read. */
    fun programs(): Map<ProgramId, ProgramState> =
        latest.values.flatMap { it.programs.entries }.associate { it.key to it.value }

    /** Applies the next segment of the current journal. */
    fun read(segment: Segment) = segment.records.forEach(::read)

    /** Ends the current journal. An incomplete snapshot at its end is discarded. */
    fun endOfJournal() {
        open.clear()
        for ((shard, snapshot) in complete) {
            val known = latest[shard]
            if (known == null || snapshot.epoch > known.epoch) latest[shard] = snapshot
        }
        complete.clear()
    }

    private fun read(record: JournalRecord) {
        when (record) {
            is JournalRecord.ShardAdopting -> if (record.shard in shards) open[record.shard] = Snapshot(record.epoch)

            is JournalRecord.ShardAdopted -> open.remove(record.shard)?.let { complete[record.shard] = it }

            is ProgramRecord -> {
                val shard = shardOf(record.program)
                (open[shard] ?: complete[shard])?.apply(record)
            }
        }
    }

    private class Snapshot(val epoch: Long) {
        val programs = HashMap<ProgramId, ProgramState>()

        fun apply(record: ProgramRecord) {
            programs[record.program] = (programs[record.program] ?: ProgramState()).apply(record)
        }
    }
}
