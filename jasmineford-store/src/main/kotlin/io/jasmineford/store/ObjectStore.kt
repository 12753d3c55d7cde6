package io.jasmineford.store

import com.github.michaelbull.result.Result
import kotlinx.coroutines.flow.Flow

/** The platform's object API, in the shape of the published Kubernetes API conventions. */
interface ObjectStore {
    /** Reads one object; null when it doesn't exist. */
    suspend fun get(key: String): Result<StoredObject?, StoreError>

    /**
     * Writes [value] when the stored version equals [expectedVersion] ([ABSENT_VERSION] creates the object).
     *
     * After [StoreError.Unavailable] the write may have taken effect. Use [putOnce] to learn which.
     */
    suspend fun put(
        key: String,
        value: String,
        expectedVersion: Long,
        nonce: String,
    ): Result<StoredObject, StoreError>

    /** Deletes the object when the stored version equals [expectedVersion]. Deleting an absent object succeeds. */
    suspend fun delete(key: String, expectedVersion: Long): Result<Unit, StoreError>

    /** Lists objects whose keys start with [prefix], at most [limit] a page. */
    suspend fun list(
        prefix: String,
        limit: Int = DEFAULT_PAGE_SIZE,
        continueToken: String? = null,
    ): Result<ObjectPage, StoreError>

    /**
     * Changes after [fromRevision] to objects whose keys start with [prefix]. The flow ends when the connection breaks
     * or the revision is too old; the caller lists again and starts a new watch.
     */
    fun watch(prefix: String, fromRevision: Long): Flow<WatchEvent>

    /** The lagging list of VMs. It never grants a right. */
    suspend fun vms(): Result<List<VmListing>, StoreError>
}

/** Objects a page when the caller doesn't say. */
const val DEFAULT_PAGE_SIZE: Int = 500
