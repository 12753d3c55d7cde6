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
     * After [StoreError.Unavailable] the write may have taken effect; [putOnce] repeats it safely.
     */
    suspend fun put(
        key: String,
        value: String,
        expectedVersion: Long,
        nonce: String,
    ): Result<StoredObject, StoreError>

    /** Deletes the object when the stored version equals [expectedVersion]. Deleting an absent object succeeds. */
    suspend fun delete(key: String, expectedVersion: Long): Result<Unit, StoreError>

    /** Lists objects whose keys start with [prefix], at most [limit] per page. */
    suspend fun list(
        prefix: String,
        limit: Int = DEFAULT_PAGE_SIZE,
        continueToken: String? = null,
    ): Result<ObjectPage, StoreError>

    /**
     * Streams changes after [fromRevision] to objects whose keys start with [prefix]. The flow ends or throws an
     * [kotlinx.io.IOException] when the connection breaks, and ends when the revision is too old; the caller then lists
     * again and starts a new watch.
     */
    fun watch(prefix: String, fromRevision: Long): Flow<WatchEvent>

    /**
     * Lists the VMs that the platform knows. The list lags behind, so no lease or shard may be taken over because of it
     * alone.
     */
    suspend fun vms(): Result<List<VmListing>, StoreError>
}

/** Default of the objects per page of a list. */
const val DEFAULT_PAGE_SIZE: Int = 500
