package io.jasmineford.standin.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.MAX_VALUE_BYTES
import io.jasmineford.store.ObjectPage
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.WatchEvent
import java.util.TreeMap

/** Numbers of calls since the store was created, including calls refused during an outage. */
data class StoreCallCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val lists: Long = 0,
)

/**
 * In-memory object store with fault injection. It does no I/O and is not thread-safe.
 *
 * @param historyLimit number of most recent changes that a watch can be resumed from.
 */
class FakeObjectStore(private val historyLimit: Int = DEFAULT_HISTORY_LIMIT) {
    private val objects = TreeMap<String, StoredObject>()
    private val history = ArrayDeque<WatchEvent>()

    /** While true, every call fails with [StoreError.Unavailable] and has no effect. */
    var isDown: Boolean = false

    /** Decides for each applied write whether its reply is lost; the caller then gets [StoreError.Unavailable]. */
    var loseReply: (key: String) -> Boolean = { false }

    /** Revision of the last write to any key. */
    var revision: Long = 0
        private set

    /** Numbers of calls so far. */
    var counts: StoreCallCounts = StoreCallCounts()
        private set

    /** See [io.jasmineford.store.ObjectStore.get]. */
    fun get(key: String): Result<StoredObject?, StoreError> {
        counts = counts.copy(reads = counts.reads + 1)
        return if (isDown) Err(DOWN) else Ok(objects[key])
    }

    /** See [io.jasmineford.store.ObjectStore.put]. */
    fun put(key: String, value: String, expectedVersion: Long, nonce: String): Result<StoredObject, StoreError> {
        counts = counts.copy(writes = counts.writes + 1)
        val current = objects[key]
        val bytes = value.toByteArray().size
        return when {
            isDown -> Err(DOWN)
            bytes > MAX_VALUE_BYTES -> Err(StoreError.TooLarge(bytes, MAX_VALUE_BYTES))
            (current?.version ?: ABSENT_VERSION) != expectedVersion -> Err(StoreError.Conflict(current))
            else -> {
                val written = StoredObject(key = key, version = ++revision, nonce = nonce, value = value)
                objects[key] = written
                record(WatchEvent(written))
                if (loseReply(key)) Err(LOST) else Ok(written)
            }
        }
    }

    /** See [io.jasmineford.store.ObjectStore.delete]. */
    fun delete(key: String, expectedVersion: Long): Result<Unit, StoreError> {
        counts = counts.copy(writes = counts.writes + 1)
        val current = objects[key]
        return when {
            isDown -> Err(DOWN)
            current == null -> Ok(Unit)
            current.version != expectedVersion -> Err(StoreError.Conflict(current))
            else -> {
                objects.remove(key)
                record(WatchEvent(current.copy(version = ++revision), deleted = true))
                if (loseReply(key)) Err(LOST) else Ok(Unit)
            }
        }
    }

    /** See [io.jasmineford.store.ObjectStore.list]. The continue token is the last key of the page. */
    fun list(prefix: String, limit: Int, continueToken: String? = null): Result<ObjectPage, StoreError> {
        counts = counts.copy(lists = counts.lists + 1)
        if (isDown) return Err(DOWN)
        val from = continueToken ?: prefix
        val matching = objects.tailMap(from, continueToken == null).values.asSequence()
            .takeWhile { it.key.startsWith(prefix) }
            .take(limit + 1)
            .toList()
        val page = matching.take(limit)
        val next = if (matching.size > limit) page.last().key else null
        return Ok(ObjectPage(objects = page, revision = revision, continueToken = next))
    }

    /** Changes after [fromRevision] under [prefix], or [StoreError.Expired] when some of them have left the history. */
    fun changesAfter(fromRevision: Long, prefix: String): Result<List<WatchEvent>, StoreError> {
        val oldest = history.firstOrNull()?.changed?.version ?: (revision + 1)
        return when {
            isDown -> Err(DOWN)
            fromRevision < oldest - 1 -> Err(StoreError.Expired(oldest))
            else -> Ok(history.filter { it.changed.version > fromRevision && it.changed.key.startsWith(prefix) })
        }
    }

    /** Returns the object without counting a call and regardless of [isDown]. */
    fun peek(key: String): StoredObject? = objects[key]

    private fun record(event: WatchEvent) {
        history.addLast(event)
        if (history.size > historyLimit) history.removeFirst()
    }

    private companion object {
        const val DEFAULT_HISTORY_LIMIT = 10_000
        val DOWN = StoreError.Unavailable("store is down")
        val LOST = StoreError.Unavailable("reply was lost")
    }
}

/** Whether the result is a [StoreError.Conflict]. */
fun <T> Result<T, StoreError>.isConflict(): Boolean =
    fold(success = { false }, failure = { it is StoreError.Conflict })
