package io.jasmineford.core.key

import io.jasmineford.core.config.ScopedName

/**
 * Accounts by key digest, with lookups that resist timing attacks: the first digits select a bucket, and each digest in
 * the bucket is compared in constant time. Callers cannot choose the digits of a SHA-256 digest, so the selection of
 * the bucket reveals nothing about the stored digests. The time of a lookup does not depend on the number of keys.
 */
class KeyIndex(keys: Iterable<Pair<KeyDigest, ScopedName>>) {
    private val buckets = keys.groupBy { bucketOf(it.first) }

    /** Account of the key with [digest], or null. */
    fun accountOf(digest: KeyDigest): ScopedName? {
        var found: ScopedName? = null
        for ((stored, account) in buckets[bucketOf(digest)].orEmpty()) {
            if (stored.matches(digest)) found = account
        }
        return found
    }

    private fun bucketOf(digest: KeyDigest): Int = digest.hex.substring(0, BUCKET_DIGITS).toInt(HEXADECIMAL)

    private companion object {
        /** 2^20 buckets, far more than the 2,500 accounts of the design size. */
        const val BUCKET_DIGITS = 5
        const val HEXADECIMAL = 16
    }
}
