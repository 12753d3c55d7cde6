package io.jasmineford.daemon.call

import io.jasmineford.core.time.MonotonicClock
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.encodeURLPathPart
import io.ktor.http.isSuccess
import io.ktor.utils.io.readLine
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Event of an engine's answer. */
internal sealed interface EngineEvent {
    /** Text that continues the answer. */
    data class Text(val content: String) : EngineEvent

    /** Token counts of the whole call. */
    data class Tokens(val usage: ChatUsage) : EngineEvent

    /** The answer is complete. */
    data object Done : EngineEvent

    /**
     * The call failed.
     *
     * @property isSent whether the engine may have received the request.
     * @property isRejected whether the engine answered with an error status or an unusable answer.
     */
    data class Failed(val problem: String, val isSent: Boolean, val isRejected: Boolean = false) : EngineEvent
}

/** A call to an engine. The engine repeats the unique [requestId] in each event of its answer. */
internal data class EngineCall(
    val address: String,
    val requestId: String,
    val chat: ChatRequest,
    val deadline: Duration,
)

/** HTTP client for model engines. */
internal class EngineClient(
    private val client: HttpClient,
    private val clock: MonotonicClock,
) {
    /**
     * Streams the answer to [call]. The flow ends with [EngineEvent.Done] or [EngineEvent.Failed].
     *
     * A stream that breaks is resumed after its last event and never restarted. Events that were already seen are
     * skipped, and an answer to another request is a failure.
     */
    fun stream(call: EngineCall): Flow<EngineEvent> = flow {
        val answer = EngineAnswer(call.requestId)
        var resumes = 0
        while (true) {
            answer.problem = "the stream ended before its last event"
            try {
                request(call, answer.lastEvent.takeIf { resumes > 0 }) { read(it, answer) }
            } catch (e: ConnectException) {
                emit(EngineEvent.Failed(e.message ?: e.toString(), isSent = resumes > 0))
                return@flow
            } catch (e: IOException) {
                answer.problem = e.message ?: e.toString()
            } catch (e: SerializationException) {
                answer.isBroken = true
                answer.problem = "unreadable event: ${e.message?.lines()?.first()}"
            }
            // Also resumes when no event has arrived: only a resumed request can show whether the engine received the
            // first one.
            val isResumable = !answer.isBroken && resumes < MAX_RESUMES && clock.now() < call.deadline
            if (answer.isDone || !isResumable) break
            resumes++
            delay(RESUME_DELAY)
        }
        emit(if (answer.isDone) EngineEvent.Done else EngineEvent.Failed(answer.problem, isSent = true, isRejected = answer.isBroken))
    }

    /** Programs whose KV cache the engine holds; null when it doesn't answer within [limit]. */
    suspend fun cachedPrograms(address: String, limit: Duration): List<String>? = try {
        val reply = client.get("http://$address/kv") { timeout { requestTimeoutMillis = limit.inWholeMilliseconds } }
        if (reply.status.isSuccess()) chatJson.decodeFromString<List<String>>(reply.bodyAsText()) else null
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    /**
     * Frees the engine's KV cache of [program]. Failures are ignored, since [EngineCacheCleaner] repeats the request.
     */
    suspend fun evict(address: String, program: String) {
        try {
            client.delete("http://$address/kv/${program.encodeURLPathPart()}")
        } catch (_: IOException) {
            return
        }
    }

    private suspend fun request(call: EngineCall, resumeAfter: Int?, read: suspend (HttpResponse) -> Unit) {
        val limit = call.deadline - clock.now()
        client.preparePost("http://${call.address}/v1/chat/completions") {
            timeout { requestTimeoutMillis = limit.inWholeMilliseconds.coerceAtLeast(1) }
            header("X-Request-Id", call.requestId)
            resumeAfter?.let { header("Last-Event-ID", it) }
            contentType(ContentType.Application.Json)
            setBody(chatJson.encodeToString(call.chat.copy(stream = true)))
        }.execute { read(it) }
    }

    private suspend fun FlowCollector<EngineEvent>.read(reply: HttpResponse, answer: EngineAnswer) {
        if (!reply.status.isSuccess()) {
            answer.isBroken = true
            answer.problem = "status ${reply.status.value}: ${reply.bodyAsText().take(MAX_PROBLEM_CHARS)}"
            return
        }
        val channel = reply.bodyAsChannel()
        while (!answer.isDone && !answer.isBroken) {
            val line = channel.readLine() ?: break
            answer.accept(line).forEach { emit(it) }
        }
    }

    private companion object {
        const val MAX_PROBLEM_CHARS = 200
        const val MAX_RESUMES = 3
        val RESUME_DELAY = 50.milliseconds
    }
}
