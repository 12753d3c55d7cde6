package io.jasmineford.standin.engine

import kotlin.time.Duration

/**
 * Prompt of a request: a prefix shared with other programs, followed by the program's history and new tokens.
 *
 * @property shared name of the shared prefix, or null when there is none.
 * @property program name under which the tokens after the prefix are cached, or null when they must not be cached.
 * @property ownTokens tokens after the shared prefix.
 */
data class EnginePrompt(
    val shared: String? = null,
    val sharedTokens: Int = 0,
    val program: String? = null,
    val ownTokens: Int = 0,
) {
    /** Length of the whole prompt. */
    val tokens: Int get() = sharedTokens + ownTokens
}

/**
 * A request to a [FakeEngine].
 *
 * @property outputTokens length of the answer, at least 1.
 * @property isFatal whether the engine crashes as soon as it has computed the prompt.
 */
data class EngineJob(
    val id: Long,
    val prompt: EnginePrompt,
    val outputTokens: Int,
    val isFatal: Boolean = false,
)

/** Progress or end of a request on a [FakeEngine]. */
sealed interface EngineSignal {
    val job: Long
    val at: Duration

    /** The first token was generated; [cachedTokens] of the prompt came from the cache. */
    data class FirstToken(override val job: Long, override val at: Duration, val cachedTokens: Int) : EngineSignal

    /** The answer is complete. */
    data class Completed(override val job: Long, override val at: Duration, val cachedTokens: Int) : EngineSignal

    /** The engine was down or crashed. [isRefused] means that it never accepted the request. */
    data class Failed(override val job: Long, override val at: Duration, val isRefused: Boolean) : EngineSignal
}

/** The engine now caches [tokens] of the history of [program]; 0 after a complete eviction. */
data class CacheEvent(
    val program: String,
    val tokens: Int,
)

/** Load that an engine reports. */
data class LoadReport(
    val running: Int = 0,
    val waiting: Int = 0,
    val cachedTokens: Long = 0,
)
