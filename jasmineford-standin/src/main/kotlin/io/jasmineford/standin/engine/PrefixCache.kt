package io.jasmineford.standin.engine

/** Prefix cache by program: the messages whose keys and values the engine still holds. Evicts the oldest program. */
class PrefixCache(private val programLimit: Int = DEFAULT_PROGRAM_LIMIT) {
    private val held = LinkedHashMap<String, List<EngineMessage>>()

    /** Number of programs held. */
    val size: Int get() = held.size

    /** Programs that hold cache memory. */
    fun programs(): List<String> = held.keys.toList()

    /** Frees the memory of [program]. */
    fun drop(program: String) {
        held.remove(program)
    }

    /** Tokens of [messages] that were held, after which the messages and the [answer] are held. */
    fun matchAndStore(program: String, messages: List<EngineMessage>, answer: List<String>): Int {
        val before = held.remove(program).orEmpty()
        val common = before.zip(messages).takeWhile { (old, new) -> old == new }
        held[program] = messages + EngineMessage("assistant", answer.joinToString(" "))
        if (held.size > programLimit) held.remove(held.keys.first())
        return common.sumOf { (old, _) -> old.content.split(' ').size }
    }

    private companion object {
        const val DEFAULT_PROGRAM_LIMIT = 1_000
    }
}
