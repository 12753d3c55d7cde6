package io.jasmineford.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.core.program.JournalRecord
import io.jasmineford.core.program.Segment
import io.jasmineford.core.program.journalJson
import io.jasmineford.core.program.segmentKey
import io.jasmineford.core.program.segmentPrefix
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.putOnce

/** Reads journals of other VMs, and seals those of VMs that lost their lease. */
class ShardReplay(
    private val store: ObjectStore,
    private val nonces: () -> String,
) {
    /** All records of [journal] in order. With [seal], no record can be added afterwards. */
    suspend fun read(journal: String, seal: Boolean): Result<List<JournalRecord>, StoreError> {
        val segments = mutableListOf<Segment>()
        var token: String? = null
        do {
            val page = store.list(segmentPrefix(journal), continueToken = token).fold(
                success = { it },
                failure = { return Err(it) },
            )
            page.objects.mapTo(segments) { decode(it) }
            token = page.continueToken
        } while (token != null)
        if (seal) sealAfter(journal, segments)?.let { return Err(it) }
        return Ok(segments.flatMap { it.records })
    }

    /** Creates the seal after [segments], and adds segments that the owner still managed to write. */
    private suspend fun sealAfter(journal: String, segments: MutableList<Segment>): StoreError? {
        while (segments.lastOrNull()?.isSeal != true) {
            val sequence = segments.lastOrNull()?.let { it.sequence + 1 } ?: 0
            val key = segmentKey(journal, sequence)
            val seal = Segment(sequence, isSeal = true)
            val stored = store.putOnce(key, journalJson.encodeToString(seal), ABSENT_VERSION, nonces()).fold(
                success = { it },
                failure = { (it as? StoreError.Conflict)?.current ?: return it },
            )
            segments += decode(stored)
        }
        return null
    }

    private fun decode(stored: StoredObject): Segment = journalJson.decodeFromString(stored.value)
}
