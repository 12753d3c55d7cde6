package io.jasmineford.standin.engine

import kotlin.time.Duration

/**
 * Prompt of a request: a prefix that other programs share, then the program's own history and new tokens.
 *
 * @property shared name of the shared prefix, or null.
 * @property program name under which the own part is cached, or null when nothing may be kept.
 */
data class EnginePrompt(
    val shared: String? = null,
    val sharedTokens: Int = 0,
    val program: String? = null,
    val ownTokens: Int = 0,
) {
    /** Tokens of the whole prompt. */
    val tokens: Int get() = sharedTokens + ownTokens
}

/**
 * A request to a [FakeEngine].
 *
 * @property outputTokens tokens of the answer, at least one.
 * @property isFatal whether the engine crashes when it has computed the prompt.
 */
data class EngineJob(
    val id: Long,
    val prompt: EnginePrompt,
    val outputTokens: Int,
    val isFatal: Boolean = false,
)

/** What an engine tells about a request. */
sealed interface EngineSignal {
    val job: Long
    val at: Duration

    /** The first token was generated; [cachedTokens] of the prompt were found in the cache. */
    data class FirstToken(override val job: Long, override val at: Duration, val cachedTokens: Int) : EngineSignal

    /** The answer is complete. */
    data class Completed(override val job: Long, override val at: Duration, val cachedTokens: Int) : EngineSignal

    /** The connection broke. [isRefused] means that the engine never took the request. */
    data class Failed(override val job: Long, override val at: Duration, val isRefused: Boolean) : EngineSignal
}

/** A cache event: the engine now holds [tokens] of the own part of [program]; zero after an eviction. */
data class CacheEvent(
    val program: String,
    val tokens: Int,
)

/** Load as an engine reports it. */
data class LoadReport(
    val running: Int = 0,
    val waiting: Int = 0,
    val cachedTokens: Long = 0,
)
