package io.jasmineford.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold

/**
 * Writes like [ObjectStore.put] and makes up to [attempts] attempts while no reply arrives.
 *
 * A conflict whose stored value carries this call's own [nonce] means that an earlier attempt took effect and only its
 * reply was lost, so it counts as success. The nonce must be unique for this write.
 */
suspend fun ObjectStore.putOnce(
    key: String,
    value: String,
    expectedVersion: Long,
    nonce: String,
    attempts: Int = DEFAULT_PUT_ATTEMPTS,
): Result<StoredObject, StoreError> {
    var last: Result<StoredObject, StoreError> = Err(StoreError.Unavailable("no attempt was made"))
    repeat(attempts) {
        last = acceptOwnWrite(put(key, value, expectedVersion, nonce), nonce)
        val isRetriable = last.fold(success = { false }, failure = { it is StoreError.Unavailable })
        if (!isRetriable) return last
    }
    return last
}

/** Turns a conflict with a stored object that carries the caller's own [nonce] into a success. */
fun acceptOwnWrite(
    reply: Result<StoredObject, StoreError>,
    nonce: String,
): Result<StoredObject, StoreError> = reply.fold(
    success = { Ok(it) },
    failure = { error ->
        val current = (error as? StoreError.Conflict)?.current
        if (current != null && current.nonce == nonce) Ok(current) else Err(error)
    },
)

/** Default number of attempts of [putOnce]. */
const val DEFAULT_PUT_ATTEMPTS: Int = 3
