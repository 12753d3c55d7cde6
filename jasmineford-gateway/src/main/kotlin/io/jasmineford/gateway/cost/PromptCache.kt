package io.jasmineford.gateway.cost

/**
 * Prompt parts that an endpoint is expected to have cached, as learned from this daemon's calls to it.
 *
 * The endpoint is taken to evict the least recently used parts when its memory is full. It reuses a part only behind
 * the same earlier parts, so only the leading known parts of a prompt count.
 */
internal class PromptCache {
    private val parts = LinkedHashMap<Long, Int>()
    private var tokens = 0L

    /** Tokens of a prompt with the leading [prompt] parts that need not be read. */
    fun cachedTokens(prompt: List<PromptPart>): Int {
        val whole = prompt.takeWhile { (parts[it.id] ?: 0) >= it.tokens }
        val next = prompt.getOrNull(whole.size)
        return whole.sumOf { it.tokens } + (next?.let { parts[it.id] } ?: 0)
    }

    /** Records that the endpoint, which has memory for [capacity] tokens or 0 if unknown, reads [prompt]. */
    fun add(prompt: List<PromptPart>, capacity: Int) {
        prompt.forEach { part ->
            tokens += part.tokens - (parts.remove(part.id) ?: 0)
            parts[part.id] = part.tokens
        }
        while (parts.size > MAX_PARTS || (capacity in 1..<tokens && parts.isNotEmpty())) removeEldest()
    }

    /** Records that the endpoint may not have read [prompt]. */
    fun remove(prompt: List<PromptPart>) = prompt.forEach { part -> parts.remove(part.id)?.let { tokens -= it } }

    private fun removeEldest() {
        val eldest = parts.entries.iterator()
        tokens -= eldest.next().value
        eldest.remove()
    }

    private companion object {
        /** Some 10 KB; with it for each of 2,400 endpoints, a daemon keeps within its memory for control state. */
        const val MAX_PARTS = 128
    }
}
