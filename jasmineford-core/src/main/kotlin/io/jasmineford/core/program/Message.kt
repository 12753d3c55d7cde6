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

/** Token usage of one call. [cached] is the part of [prompt] that the engine found in its prefix cache. */
@Serializable
data class Usage(
    val prompt: Long = 0,
    val completion: Long = 0,
    val cached: Long = 0,
)

/** Digest of an empty history. */
const val EMPTY_HISTORY_DIGEST: String = ""

/** Digest of the history with digest [before] extended by [messages]: a SHA-256 chain, 64 hexadecimal digits. */
fun historyDigest(before: String, messages: List<Message>): String = messages.fold(before) { digest, message ->
    Hashing.sha256().newHasher()
        .putUnencodedChars(digest)
        .putInt(message.role.length).putUnencodedChars(message.role)
        .putInt(message.content.length).putUnencodedChars(message.content)
        .hash().toString()
}

/** Size of [text] in UTF-8 bytes; an unpaired surrogate counts as a replacement character. */
internal fun utf8Bytes(text: String): Int = try {
    Utf8.encodedLength(text)
} catch (_: IllegalArgumentException) {
    text.toByteArray().size
}
