package io.jasmineford.gateway.cost

/**
 * A part of a prompt that calls may share, such as a system message or the history of a session.
 *
 * @property id identifies the content of the part.
 */
data class PromptPart(val id: Long, val tokens: Int)

/**
 * What the caller tells of a call's work.
 *
 * @property promptTokens tokens of the prompt; 0 when the caller states none.
 * @property maxTokens maximum number of tokens that the call may generate; 0 when the caller states none.
 * @property expectedTokens the caller's estimate of the generated tokens; null when it states none.
 * @property parts leading parts of the prompt, in order.
 */
data class CallHints(
    val promptTokens: Int = 0,
    val maxTokens: Int = 0,
    val expectedTokens: Int? = null,
    val parts: List<PromptPart> = emptyList(),
)

/** Prompts with more parts are taken as if they had the first ones only. */
private const val MAX_PARTS = 32

/** Larger numbers of tokens are no plausible hints; they are ignored. */
private const val MAX_TOKENS = 100_000_000

/**
 * Decodes the texts of request headers. A text that can't be read is taken as absent, as a hint must not fail a call.
 *
 * @param usage prompt tokens and maximum output tokens, `IN,OUT`.
 * @param length expected output tokens.
 * @param prefix parts of the prompt, `ID:TOKENS,ID:TOKENS,...` with hexadecimal ids.
 */
internal fun callHintsOf(usage: String?, length: String?, prefix: String?) = CallHints(
    promptTokens = tokensOf(usage?.substringBefore(',')) ?: 0,
    maxTokens = tokensOf(usage?.substringAfter(',', "")) ?: 0,
    expectedTokens = tokensOf(length)?.takeIf { it > 0 },
    parts = prefix?.let(::partsOf).orEmpty(),
)

private fun partsOf(text: String): List<PromptPart> =
    text.splitToSequence(',').map(::partOf).takeWhile { it != null }.filterNotNull().take(MAX_PARTS).toList()

private fun partOf(text: String): PromptPart? {
    val id = text.substringBefore(':').trim()
    val tokens = tokensOf(text.substringAfter(':', ""))
    if (id.isEmpty() || tokens == null) return null
    return PromptPart(id.toULongOrNull(HEXADECIMAL)?.toLong() ?: hash(id), tokens)
}

/** Ids of more than 16 digits are told apart by a hash; a collision only makes one estimate wrong. */
private fun hash(id: String): Long = id.fold(id.length.toLong()) { sum, char -> sum * HASH_FACTOR + char.code }

private fun tokensOf(text: String?): Int? = text?.trim()?.toIntOrNull()?.takeIf { it in 0..MAX_TOKENS }

private const val HEXADECIMAL = 16
private const val HASH_FACTOR = 1_099_511_628_211L
