package io.jasmineford.gateway.call

import java.security.MessageDigest

private const val MAX_KEY_CHARS = 160
private const val PREFIX_CHARS = 64
private const val DIGEST_CHARS = 32

/**
 * Key for what callers name, such as programs and paths. Thousands of keys are held, and some are in each heartbeat,
 * which has to fit into a datagram; so the end of a long text is replaced by its digest.
 */
internal fun shortKey(text: String): String {
    if (text.length <= MAX_KEY_CHARS) return text
    val digest = MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }
    return "${text.take(PREFIX_CHARS)}#${digest.take(DIGEST_CHARS)}"
}
