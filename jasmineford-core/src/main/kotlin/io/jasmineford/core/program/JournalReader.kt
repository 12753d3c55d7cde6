package io.jasmineford.core.program

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectPage
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.acceptOwnWrite

/** A store call that a [JournalReader] asks for. The same step is asked for again until it succeeds. */
sealed interface ReplayStep {
    /** List of segments, a page. */
    data class ListPage(val prefix: String, val limit: Int, val token: String?) : ReplayStep

    /** Read of the segment that may follow the last one listed; lists may be stale. */
    data class ReadNext(val key: String) : ReplayStep

    /** Create-if-absent write of the seal with version [ABSENT_VERSION]. */
    data class Seal(val write: SegmentWrite) : ReplayStep
}

/**
 * Reads the journal [id] to its end and hands each segment to [onSegment], in order.
 *
 * With [seal], the reader creates a seal after the last segment, so that no record can be added afterwards; segments
 * that the owner still managed to write are read too. Without, the owner must have promised to append nothing more for
 * the shards that are read.
 *
 * @param minRevision store revision of the map that made this VM the owner. A list that reflects an older revision is
 *   read again: by an old list the seal could land on a segment that was deleted, where it fences nothing.
 */
class JournalReader(
    private val id: String,
    private val seal: Boolean,
    private val minRevision: Long,
    private val nonces: () -> String,
    private val onSegment: (Segment) -> Unit,
) {
    private var token: String? = null
    private var isListed = false
    private var next = 0L
    private var sealWrite: SegmentWrite? = null

    /** True when the whole journal was read. */
    var isDone: Boolean = false
        private set

    /** The store call to make next; null when done. */
    fun step(): ReplayStep? = when {
        isDone -> null
        !isListed -> ReplayStep.ListPage(segmentPrefix(id), PAGE_SEGMENTS, token)
        seal -> ReplayStep.Seal(sealAt(next))
        else -> ReplayStep.ReadNext(segmentKey(id, next))
    }

    /** Takes the reply to [ReplayStep.ListPage]. */
    fun onPage(reply: Result<ObjectPage, StoreError>) = reply.fold(
        success = { page ->
            if (page.revision < minRevision) return
            page.objects.forEach(::take)
            token = page.continueToken
            isListed = token == null
        },
        failure = { if (it is StoreError.Expired) token = null },
    )

    /** Takes the reply to [ReplayStep.ReadNext]. */
    fun onRead(reply: Result<StoredObject?, StoreError>) = reply.fold(
        success = { if (it == null) isDone = true else take(it) },
        failure = { },
    )

    /** Takes the reply to [ReplayStep.Seal]. */
    fun onSealed(reply: Result<StoredObject, StoreError>) {
        val write = sealWrite ?: return
        acceptOwnWrite(reply, write.nonce).fold(
            success = ::take,
            failure = { error -> (error as? StoreError.Conflict)?.current?.let(::take) },
        )
    }

    private fun sealAt(sequence: Long): SegmentWrite {
        val key = segmentKey(id, sequence)
        val known = sealWrite
        if (known?.key == key) return known
        val value = journalJson.encodeToString(Segment(sequence, isSeal = true))
        return SegmentWrite(key, value, nonces()).also { sealWrite = it }
    }

    private fun take(stored: StoredObject) {
        val segment = journalJson.decodeFromString<Segment>(stored.value)
        // A list that starts again after its token expired repeats segments.
        if (segment.sequence < next) return
        next = segment.sequence + 1
        if (segment.isSeal) isDone = true else onSegment(segment)
    }

    private companion object {
        // Segments are up to 1 MiB; a page stays within a few MiB of the memory that control may use.
        const val PAGE_SEGMENTS = 4
    }
}
