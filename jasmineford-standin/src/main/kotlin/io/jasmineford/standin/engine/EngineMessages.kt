@file:Suppress("ConstructorParameterNaming") // Field names of the chat completions API.

package io.jasmineford.standin.engine

import kotlinx.serialization.Serializable

/** One chat message. */
@Serializable
data class EngineMessage(
    val role: String,
    val content: String,
)

/** Request of the chat completions API; [user] is the program, which keys its prefix cache entries. */
@Serializable
data class EngineRequest(
    val model: String,
    val messages: List<EngineMessage>,
    val stream: Boolean = false,
    val max_tokens: Int? = null,
    val user: String? = null,
)

/** Token counts of one request; [cached_tokens] of the prompt came from the prefix cache. */
@Serializable
data class EngineUsage(
    val prompt_tokens: Int,
    val completion_tokens: Int,
    val cached_tokens: Int = 0,
)

/** Increment of a streamed message. */
@Serializable
data class EngineDelta(val content: String)

/** A complete message, or an increment when streaming. */
@Serializable
data class EngineChoice(
    val index: Int = 0,
    val message: EngineMessage? = null,
    val delta: EngineDelta? = null,
)

/** Response, or one streamed event, of the chat completions API. */
@Serializable
data class EngineReply(
    val id: String? = null,
    val model: String? = null,
    val choices: List<EngineChoice> = emptyList(),
    val usage: EngineUsage? = null,
)
