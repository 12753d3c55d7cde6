package io.jasmineford.daemon.call

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.program.Message
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * Request of the chat completions API. Only the fields that the scheduler needs are read and passed on to the engine.
 */
@Serializable
internal data class ChatRequest(
    val model: String,
    val messages: List<Message>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    val user: String? = null,
)

/** Increment of a streamed answer. */
@Serializable
internal data class ChatDelta(val content: String = "")

/** Answer of the engine: [message] in a whole reply, [delta] in an event of a stream. */
@Serializable
internal data class ChatChoice(
    val index: Int = 0,
    val message: Message? = null,
    val delta: ChatDelta? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** Token counts as the engine reports them. */
@Serializable
internal data class ChatUsage(
    @SerialName("prompt_tokens") val promptTokens: Long = 0,
    @SerialName("completion_tokens") val completionTokens: Long = 0,
    @SerialName("cached_tokens") val cachedTokens: Long = 0,
)

/** Whole reply, or one event of a streamed reply. */
@Serializable
internal data class ChatReply(
    val id: String? = null,
    val model: String? = null,
    val choices: List<ChatChoice> = emptyList(),
    val usage: ChatUsage? = null,
)

/** JSON format of the chat completions API. */
internal val chatJson = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
}

/** Parses a chat request. The error doesn't quote the body, since the body may contain a key. */
@OptIn(ExperimentalSerializationApi::class) // The names of missing fields are not available otherwise.
internal fun readChatRequest(body: ByteArray): Result<ChatRequest, String> = try {
    Ok(chatJson.decodeFromString<ChatRequest>(body.decodeToString()))
} catch (e: MissingFieldException) {
    Err("expected a chat request with ${e.missingFields.joinToString()}, actual one without")
} catch (_: SerializationException) {
    Err("unreadable chat request")
}
