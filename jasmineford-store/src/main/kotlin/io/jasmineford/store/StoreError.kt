package io.jasmineford.store

/** Reason why a store call failed. */
sealed interface StoreError {
    /** The stored version differs from the expected one; [current] is null when the object doesn't exist. */
    data class Conflict(val current: StoredObject?) : StoreError

    /** No reply, an unreadable reply or an error status. A write may have taken effect. */
    data class Unavailable(val reason: String) : StoreError

    /**
     * The watch or continue token refers to a revision older than [oldestRevision], which the store no longer keeps.
     */
    data class Expired(val oldestRevision: Long) : StoreError

    /** The value exceeds the size limit; nothing was written. */
    data class TooLarge(val bytes: Int, val limitBytes: Int) : StoreError
}

/** Describes this error in one line for logs and error messages. */
fun StoreError.describe(): String = when (this) {
    is StoreError.Conflict -> "conflict: stored version is ${current?.version ?: ABSENT_VERSION}"
    is StoreError.Unavailable -> "store unavailable: $reason"
    is StoreError.Expired -> "revision is too old: the oldest kept is $oldestRevision"
    is StoreError.TooLarge -> "value of $bytes bytes exceeds the limit of $limitBytes bytes"
}
