package io.jasmineford.standin.engine

/**
 * KV cache of a [FakeEngine] with a memory limit.
 *
 * Shared prefixes and program histories stay cached after their requests end. Histories are evicted first, the least
 * recently used one first and from its end, as an engine evicts the leaves of its prefix tree.
 *
 * @param limit capacity in tokens.
 * @param onChange called whenever the number of cached tokens of a program changes.
 */
class PromptCache(
    private val limit: Long,
    private val onChange: (CacheEvent) -> Unit = {},
) {
    private val shared = LinkedHashMap<String, Entry>()
    private val programs = LinkedHashMap<String, Entry>()

    /** Cached tokens, including those reserved by running requests. */
    var usedTokens: Long = 0
        private set

    /** Number of cached tokens by program. */
    fun programs(): Map<String, Int> = programs.mapValues { it.value.tokens }

    /** Tokens of [prompt] that are cached. A cached history can't be used unless its shared prefix is cached too. */
    fun match(prompt: EnginePrompt): Int {
        if (prompt.shared != null && prompt.shared !in shared) return 0
        val own = programs[prompt.program]?.tokens ?: 0
        return prompt.sharedTokens + minOf(own, prompt.ownTokens)
    }

    /** Reserves memory for [prompt] and [output] tokens until [release]; false when running requests need too much. */
    fun reserve(prompt: EnginePrompt, output: Int): Boolean {
        val own = pin(programs, prompt.program)
        val prefix = pin(shared, prompt.shared)
        val needed = additionalTokens(prefix, prompt.sharedTokens) + additionalTokens(own, prompt.ownTokens + output)
        if (!evictFor(needed)) {
            unpin(programs, prompt.program)
            unpin(shared, prompt.shared)
            return false
        }
        prefix?.grow(prompt.sharedTokens)
        own?.grow(prompt.ownTokens + output)
        if (own == null) usedTokens += prompt.ownTokens + output
        return true
    }

    /** Ends a request; the tokens of its program stay cached as the most recently used. */
    fun release(prompt: EnginePrompt, output: Int) {
        if (prompt.program == null) usedTokens -= prompt.ownTokens + output
        unpin(programs, prompt.program)
        unpin(shared, prompt.shared)
        prompt.program?.let { onChange(CacheEvent(it, programs[it]?.tokens ?: 0)) }
    }

    /** Caches [tokens] of [program] that another engine exported; returns 0 when they don't fit, else [tokens]. */
    fun import(program: String, tokens: Int): Int {
        val entry = pin(programs, program) ?: return 0
        val fits = evictFor(additionalTokens(entry, tokens))
        if (fits) entry.grow(tokens)
        unpin(programs, program)
        return if (fits) tokens else 0
    }

    /** Evicts [program] unless it has a running request. */
    fun drop(program: String) {
        val entry = programs[program] ?: return
        if (entry.pins == 0) evict(program, entry, entry.tokens)
    }

    /** Discards all entries, as a restart of the engine does. */
    fun clear() {
        shared.clear()
        programs.clear()
        usedTokens = 0
    }

    private fun additionalTokens(entry: Entry?, tokens: Int) = (tokens - (entry?.tokens ?: 0)).coerceAtLeast(0)

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

    private fun evictFor(needed: Int): Boolean {
        val oldest = programs.entries.filter { it.value.pins == 0 }.iterator()
        while (usedTokens + needed > limit && oldest.hasNext()) {
            val (name, entry) = oldest.next()
            val excess = (usedTokens + needed - limit).coerceAtMost(entry.tokens.toLong())
            evict(name, entry, excess.toInt())
        }
        val prefixes = shared.entries.filter { it.value.pins == 0 }.iterator()
        while (usedTokens + needed > limit && prefixes.hasNext()) {
            val (name, entry) = prefixes.next()
            usedTokens -= entry.tokens
            shared.remove(name)
        }
        return usedTokens + needed <= limit
    }

    private fun evict(program: String, entry: Entry, tokens: Int) {
        entry.tokens -= tokens
        usedTokens -= tokens
        if (entry.tokens == 0) programs.remove(program)
        onChange(CacheEvent(program, entry.tokens))
    }

    private inner class Entry(var tokens: Int = 0, var pins: Int = 0) {
        fun grow(to: Int) {
            usedTokens += additionalTokens(this, to)
            tokens = maxOf(tokens, to)
        }
    }
}
