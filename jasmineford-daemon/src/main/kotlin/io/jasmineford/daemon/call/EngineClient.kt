package io.jasmineford.daemon.call

import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.delete
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.io.IOException
import kotlin.time.Duration

/** Part of an engine's answer. */
internal sealed interface EngineEvent {
    /** Text that continues the answer. */
    data class Text(val content: String) : EngineEvent

    /** Tokens of the whole call. */
    data class Tokens(val usage: ChatUsage) : EngineEvent

    /** The answer is complete. */
    data object Done : EngineEvent

    /** The engine failed; [isSent] tells whether the engine may have begun. */
    data class Failed(val problem: String, val isSent: Boolean) : EngineEvent
}

/** Client of model engines. */
internal class EngineClient(private val client: HttpClient) {
    /** Streams the answer to [request]. The flow ends with [EngineEvent.Done] or [EngineEvent.Failed]. */
    fun stream(address: String, request: ChatRequest, limit: Duration): Flow<EngineEvent> = flow {
        var isDone = false
        var problem = "the stream ended before its last event"
        try {
            client.preparePost("http://$address/v1/chat/completions") {
                timeout { requestTimeoutMillis = limit.inWholeMilliseconds.coerceAtLeast(1) }
                contentType(ContentType.Application.Json)
                setBody(chatJson.encodeToString(request.copy(stream = true)))
            }.execute { reply ->
                if (!reply.status.isSuccess()) {
                    problem = "status ${reply.status.value}: ${reply.bodyAsText().take(PROBLEM_LENGTH)}"
                    return@execute
                }
                val channel = reply.bodyAsChannel()
                while (!isDone) {
                    val line = channel.readLine() ?: break
                    val data = line.removePrefix("data: ")
                    if (data == line) continue
                    if (data == DONE) isDone = true else emitAll(chatJson.decodeFromString(data))
                }
            }
        } catch (e: IOException) {
            problem = e.message ?: e.toString()
        }
        emit(if (isDone) EngineEvent.Done else EngineEvent.Failed(problem, isSent = true))
    }

    /** Frees the engine's memory of [program]. Failures are ignored: the endpoint's owner compares again later. */
    suspend fun drop(address: String, program: String) {
        try {
            client.delete("http://$address/kv/${program.encodeURLPathPart()}")
        } catch (_: IOException) {
            return
        }
    }

    private suspend fun kotlinx.coroutines.flow.FlowCollector<EngineEvent>.emitAll(reply: ChatReply) {
        reply.choices.firstOrNull()?.delta?.let { emit(EngineEvent.Text(it.content)) }
        reply.usage?.let { emit(EngineEvent.Tokens(it)) }
    }

    private companion object {
        const val DONE = "[DONE]"
        const val PROBLEM_LENGTH = 200
    }
}
