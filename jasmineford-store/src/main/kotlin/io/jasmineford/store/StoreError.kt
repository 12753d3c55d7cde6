package io.jasmineford.store

/** Why a store call did not succeed. */
sealed interface StoreError {
    /** The stored version differs from the expected one; [current] is null when the object doesn't exist. */
    data class Conflict(val current: StoredObject?) : StoreError

    /** No answer, or an answer that the store is down. A write may or may not have taken effect. */
    data class Unavailable(val reason: String) : StoreError

    /** The watch or the continue token starts at a revision that the store no longer keeps. */
    data class Expired(val oldestRevision: Long) : StoreError

    /** The value exceeds the size limit; nothing was written. */
    data class TooLarge(val bytes: Int, val limitBytes: Int) : StoreError
}

/** One line for logs and error messages. */
fun StoreError.describe(): String = when (this) {
    is StoreError.Conflict -> "conflict: stored version is ${current?.version ?: ABSENT_VERSION}"
    is StoreError.Unavailable -> "store unavailable: $reason"
    is StoreError.Expired -> "revision is too old: the oldest kept is $oldestRevision"
    is StoreError.TooLarge -> "value of $bytes bytes exceeds the limit of $limitBytes bytes"
}
