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

/** Part of an engine's answer. */
internal sealed interface EngineEvent {
    /** Text that continues the answer. */
    data class Text(val content: String) : EngineEvent

    /** Tokens of the whole call. */
    data class Tokens(val usage: ChatUsage) : EngineEvent

    /** The answer is complete. */
    data object Done : EngineEvent

    /** The engine failed; [isSent] tells whether it may have begun, [isRejected] that it answered with an error. */
    data class Failed(val problem: String, val isSent: Boolean, val isRejected: Boolean = false) : EngineEvent
}

/** One call of an engine. [requestId] is unique; the engine repeats it in each event of its answer. */
internal data class EngineCall(
    val address: String,
    val requestId: String,
    val chat: ChatRequest,
    val deadline: Duration,
)

/** Client of model engines. */
internal class EngineClient(
    private val client: HttpClient,
    private val clock: MonotonicClock,
) {
    /**
     * Streams the answer to [call]. The flow ends with [EngineEvent.Done] or [EngineEvent.Failed].
     *
     * A stream that breaks is resumed behind its last event; it is never started again. Events that were seen are
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
            // Without an event, it isn't known whether the engine has the request, and only a resume could tell.
            val isResumable = !answer.isBroken && resumes < MAX_RESUMES && clock.now() < call.deadline
            if (answer.isDone || !isResumable) break
            resumes++
            delay(RESUME_PAUSE)
        }
        emit(if (answer.isDone) EngineEvent.Done else EngineEvent.Failed(answer.problem, isSent = true, isRejected = answer.isBroken))
    }

    /** Programs whose keys and values the engine holds; null when it doesn't answer. */
    suspend fun heldPrograms(address: String, limit: Duration): List<String>? = try {
        val reply = client.get("http://$address/kv") { timeout { requestTimeoutMillis = limit.inWholeMilliseconds } }
        if (reply.status.isSuccess()) chatJson.decodeFromString<List<String>>(reply.bodyAsText()) else null
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    /** Frees the engine's memory of [program]. Failures are ignored: the next comparison tries again. */
    suspend fun drop(address: String, program: String) {
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
            answer.problem = "status ${reply.status.value}: ${reply.bodyAsText().take(PROBLEM_LENGTH)}"
            return
        }
        val channel = reply.bodyAsChannel()
        while (!answer.isDone && !answer.isBroken) {
            val line = channel.readLine() ?: break
            answer.take(line).forEach { emit(it) }
        }
    }

    private companion object {
        const val PROBLEM_LENGTH = 200
        const val MAX_RESUMES = 3
        val RESUME_PAUSE = 50.milliseconds
    }
}
