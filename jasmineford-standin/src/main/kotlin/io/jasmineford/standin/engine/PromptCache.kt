package io.jasmineford.standin.engine

/**
 * KV cache under a memory limit. Shared prefixes and the own parts of programs are kept after their requests end, and are
 * evicted least recently used first, from the end of a program's history (the leaves of a prefix tree).
 *
 * @param onChange sees each change of a program's cached tokens.
 */
class PromptCache(
    private val limit: Long,
    private val onChange: (CacheEvent) -> Unit = {},
) {
    private val shared = LinkedHashMap<String, Entry>()
    private val programs = LinkedHashMap<String, Entry>()

    /** Tokens held, those of running requests included. */
    var usedTokens: Long = 0
        private set

    /** Programs with cached tokens. */
    fun programs(): Map<String, Int> = programs.mapValues { it.value.tokens }

    /** Tokens of [prompt] that are cached. An own part is of no use without its shared prefix. */
    fun match(prompt: EnginePrompt): Int {
        if (prompt.shared != null && prompt.shared !in shared) return 0
        val own = programs[prompt.program]?.tokens ?: 0
        return prompt.sharedTokens + minOf(own, prompt.ownTokens)
    }

    /** Takes memory for [prompt] and [output] tokens until [end], or returns false when the running requests fill it. */
    fun begin(prompt: EnginePrompt, output: Int): Boolean {
        val own = pin(programs, prompt.program)
        val prefix = pin(shared, prompt.shared)
        val needed = needOf(prefix, prompt.sharedTokens) + needOf(own, prompt.ownTokens + output)
        if (!makeRoom(needed)) {
            unpin(programs, prompt.program)
            unpin(shared, prompt.shared)
            return false
        }
        prefix?.grow(prompt.sharedTokens)
        own?.grow(prompt.ownTokens + output)
        if (own == null) usedTokens += prompt.ownTokens + output
        return true
    }

    /** Keeps the tokens of an ended request as the most recently used. */
    fun end(prompt: EnginePrompt, output: Int) {
        if (prompt.program == null) usedTokens -= prompt.ownTokens + output
        unpin(programs, prompt.program)
        unpin(shared, prompt.shared)
        prompt.program?.let { onChange(CacheEvent(it, programs[it]?.tokens ?: 0)) }
    }

    /** Holds [tokens] of [program] that another engine exported; returns the tokens that found room. */
    fun import(program: String, tokens: Int): Int {
        val entry = pin(programs, program) ?: return 0
        val isRoom = makeRoom(needOf(entry, tokens))
        if (isRoom) entry.grow(tokens)
        unpin(programs, program)
        return if (isRoom) tokens else 0
    }

    /** Frees the memory of [program] unless it runs. */
    fun drop(program: String) {
        val entry = programs[program] ?: return
        if (entry.pins == 0) cut(program, entry, entry.tokens)
    }

    /** Forgets everything, as a restart does. */
    fun clear() {
        shared.clear()
        programs.clear()
        usedTokens = 0
    }

    private fun needOf(entry: Entry?, tokens: Int) = (tokens - (entry?.tokens ?: 0)).coerceAtLeast(0)

    private fun pin(entries: LinkedHashMap<String, Entry>, name: String?): Entry? {
        if (name == null) return null
        val entry = entries.remove(name) ?: Entry()
        entries[name] = entry
        entry.pins++
        return entry
    }

    private fun unpin(entries: LinkedHashMap<String, Entry>, name: String?) {
        val entry = entries[name] ?: return
        entry.pins--
        if (entry.tokens == 0 && entry.pins == 0) entries.remove(name)
    }

    private fun makeRoom(needed: Int): Boolean {
        val oldest = programs.entries.filter { it.value.pins == 0 }.iterator()
        while (usedTokens + needed > limit && oldest.hasNext()) {
            val (name, entry) = oldest.next()
            val excess = (usedTokens + needed - limit).coerceAtMost(entry.tokens.toLong())
            cut(name, entry, excess.toInt())
        }
        val prefixes = shared.entries.filter { it.value.pins == 0 }.iterator()
        while (usedTokens + needed > limit && prefixes.hasNext()) {
            val (name, entry) = prefixes.next()
            usedTokens -= entry.tokens
            shared.remove(name)
        }
        return usedTokens + needed <= limit
    }

    private fun cut(program: String, entry: Entry, tokens: Int) {
        entry.tokens -= tokens
        usedTokens -= tokens
        if (entry.tokens == 0) programs.remove(program)
        onChange(CacheEvent(program, entry.tokens))
    }

    private inner class Entry(var tokens: Int = 0, var pins: Int = 0) {
        fun grow(to: Int) {
            usedTokens += needOf(this, to)
            tokens = maxOf(tokens, to)
        }
    }
}
