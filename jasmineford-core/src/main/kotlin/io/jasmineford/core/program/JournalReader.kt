package io.jasmineford.core.program

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.ObjectPage
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.acceptOwnWrite

/** A store call that [JournalReader] requests. It requests the same step again until the call succeeds. */
sealed interface ReplayStep {
    /** Read of one page of the list of segments. */
    data class ListPage(val prefix: String, val limit: Int, val token: String?) : ReplayStep

    /** Read of the segment that may follow the last one listed, since lists may be stale. */
    data class ReadNext(val key: String) : ReplayStep

    /** Create-if-absent write of the seal with version [ABSENT_VERSION]. */
    data class Seal(val write: SegmentWrite) : ReplayStep
}

/**
 * Reads journal [id] to its end and passes each segment to [onSegment], in order.
 *
 * With [seal], the reader writes a seal after the last segment, so that its owner can append nothing more. Segments
 * that the owner writes before the seal succeeds are read too. Without [seal], the owner must already have stopped
 * appending records of the shards that are read, as after a planned hand-over.
 *
 * @param minRevision store revision of the map that made this VM the owner. A list of an older revision is read again:
 *   based on a stale list, the seal could be created in place of a deleted segment, where it fences nothing.
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

    /** True when the whole journal has been read. */
    var isDone: Boolean = false
        private set

    /** Returns the next store call; null when done. */
    fun step(): ReplayStep? = when {
        isDone -> null
        !isListed -> ReplayStep.ListPage(segmentPrefix(id), PAGE_SEGMENTS, token)
        seal -> ReplayStep.Seal(sealAt(next))
        else -> ReplayStep.ReadNext(segmentKey(id, next))
    }

    /** Handles the reply to [ReplayStep.ListPage]. */
    fun onPage(reply: Result<ObjectPage, StoreError>) = reply.fold(
        success = { page ->
            if (page.revision < minRevision) return
            page.objects.forEach(::accept)
            token = page.continueToken
            isListed = token == null
        },
        failure = { if (it is StoreError.Expired) token = null },
    )

    /** Handles the reply to [ReplayStep.ReadNext]. */
    fun onRead(reply: Result<StoredObject?, StoreError>) = reply.fold(
        success = { if (it == null) isDone = true else accept(it) },
        failure = { },
    )

    /** Handles the reply to [ReplayStep.Seal]. */
    fun onSealed(reply: Result<StoredObject, StoreError>) {
        val write = sealWrite ?: return
        acceptOwnWrite(reply, write.nonce).fold(
            success = ::accept,
            failure = { error -> (error as? StoreError.Conflict)?.current?.let(::accept) },
        )
    }

    private fun sealAt(sequence: Long): SegmentWrite {
        val key = segmentKey(id, sequence)
        val known = sealWrite
        if (known?.key == key) return known
        val value = journalJson.encodeToString(Segment(sequence, isSeal = true))
        return SegmentWrite(key, value, nonces()).also { sealWrite = it }
    }

    private fun accept(stored: StoredObject) {
        val segment = journalJson.decodeFromString<Segment>(stored.value)
        // A list restarted after its continue token expired returns segments that were already read.
        if (segment.sequence < next) return
        next = segment.sequence + 1
        if (segment.isSeal) isDone = true else onSegment(segment)
    }

    private companion object {
        /** Segments are up to 1 MiB, so a page takes at most a few MiB of memory. */
        const val PAGE_SEGMENTS = 4
    }
}
