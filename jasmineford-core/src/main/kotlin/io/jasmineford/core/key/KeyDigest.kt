package io.jasmineford.core.key

import java.security.MessageDigest
import java.util.HexFormat

/**
 * SHA-256 digest of a caller's key. Only digests are stored, logged or sent between VMs.
 *
 * @property hex 64 lower-case hexadecimal digits.
 */
@JvmInline
value class KeyDigest(val hex: String) {
    init {
        require(isKeyDigest(hex)) { "expected 64 lower-case hexadecimal digits, actual ${hex.length} characters" }
    }

    /** Compares in constant time, so that the time taken does not reveal the position of the first difference. */
    fun matches(other: KeyDigest): Boolean = MessageDigest.isEqual(hex.toByteArray(), other.hex.toByteArray())
}

/** Whether [text] has the format of [KeyDigest.hex]. */
fun isKeyDigest(text: String): Boolean = text.length == DIGEST_LENGTH && text.all { it in '0'..'9' || it in 'a'..'f' }

/** Digest of a key as the caller presents it. */
fun digestOfKey(key: String): KeyDigest {
    val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
    return KeyDigest(HexFormat.of().formatHex(digest))
}

private const val DIGEST_LENGTH = 64
