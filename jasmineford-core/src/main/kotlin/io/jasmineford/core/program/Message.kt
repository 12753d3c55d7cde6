package io.jasmineford.core.program

import com.google.common.base.Utf8
import com.google.common.hash.Hashing
import kotlinx.serialization.Serializable

/** One message of a program's history. */
@Serializable
data class Message(
    val role: String,
    val content: String,
)

/** Tokens of one call. [cached] prompt tokens were found in the engine's prefix cache. */
@Serializable
data class Usage(
    val prompt: Long = 0,
    val completion: Long = 0,
    val cached: Long = 0,
)

/** Digest of an empty history. */
const val EMPTY_HISTORY_DIGEST: String = ""

/** Digest of a history that continues the one of [before] with [messages]; 64 hexadecimal digits (SHA-256). */
fun historyDigest(before: String, messages: List<Message>): String = messages.fold(before) { digest, message ->
    Hashing.sha256().newHasher()
        .putUnencodedChars(digest)
        .putInt(message.role.length).putUnencodedChars(message.role)
        .putInt(message.content.length).putUnencodedChars(message.content)
        .hash().toString()
}

/** Bytes of [text] in UTF-8; an unpaired surrogate counts as a replacement character. */
internal fun utf8Bytes(text: String): Int = try {
    Utf8.encodedLength(text)
} catch (_: IllegalArgumentException) {
    text.toByteArray().size
}
