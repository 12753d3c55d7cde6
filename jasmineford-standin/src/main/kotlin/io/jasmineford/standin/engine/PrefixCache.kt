package io.jasmineford.standin.engine

/**
 * Prefix cache of an [EngineServer]: the messages of each program whose KV entries count as cached.
 *
 * @param programLimit number of programs above which the least recently used one is evicted.
 */
class PrefixCache(private val programLimit: Int = DEFAULT_PROGRAM_LIMIT) {
    private val entries = LinkedHashMap<String, List<EngineMessage>>()

    /** Number of cached programs. */
    val size: Int get() = entries.size

    /** Cached programs, the least recently used first. */
    fun programs(): List<String> = entries.keys.toList()

    /** Evicts [program]. */
    fun drop(program: String) {
        entries.remove(program)
    }

    /** Returns the number of tokens of [messages] that were cached, then caches the messages and the [answer]. */
    fun matchAndStore(program: String, messages: List<EngineMessage>, answer: List<String>): Int {
        val before = entries.remove(program).orEmpty()
        val common = before.zip(messages).takeWhile { (old, new) -> old == new }
        entries[program] = messages + EngineMessage("assistant", answer.joinToString(" "))
        if (entries.size > programLimit) entries.remove(entries.keys.first())
        return common.sumOf { (old, _) -> old.content.split(' ').size }
    }

    private companion object {
        const val DEFAULT_PROGRAM_LIMIT = 1_000
    }
}
