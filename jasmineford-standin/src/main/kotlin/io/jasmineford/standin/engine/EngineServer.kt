package io.jasmineford.standin.engine

import io.jasmineford.standin.LoopbackServer
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * HTTP stand-in for a model engine: chat completions as JSON or server-sent events with deterministic answers, a
 * prefix cache and a load report.
 *
 * A request with a `Last-Event-ID` header resumes the answer to the same `X-Request-Id` after that event; the reply is
 * 404 when the answer is no longer stored.
 *
 * @param name part of every answer, so that a test can tell engines apart.
 * @param port port on loopback; 0 selects a free one.
 * @param tokenInterval time between two tokens.
 * @param onRequest called with the raw headers and the body of each request, so that a test can check what was sent.
 * @param breakBefore decides for each event of a stream whether the connection is closed instead of sending it.
 */
class EngineServer(
    private val name: String,
    port: Int = 0,
    private val tokenInterval: Duration = 1.milliseconds,
    private val onRequest: (headers: Map<String, List<String>>, body: String) -> Unit = { _, _ -> },
    private val breakBefore: (event: Int) -> Boolean = { false },
) : AutoCloseable {
    private val answers = RecentAnswers()
    private val mutex = Mutex()
    private val cache = PrefixCache()
    private var running = 0
    private val server = LoopbackServer(port) {
        routing {
            post("/v1/chat/completions") { call.complete() }
            get("/load") { call.respondText(mutex.withLock { """{"running":$running,"cached":${cache.size}}""" }) }
            get("/kv") { call.respondText(json.encodeToString(mutex.withLock { cache.programs() })) }
            delete("/kv/{program}") {
                mutex.withLock { cache.drop(call.parameters["program"].orEmpty()) }
                call.respondText("", status = HttpStatusCode.NoContent)
            }
        }
    }

    /** Starts listening and returns the port. */
    suspend fun start(): Int = server.start()

    override fun close() = server.close()

    private suspend fun ApplicationCall.complete() {
        val text = receiveText()
        onRequest(request.headers.entries().associate { it.key to it.value }, text)
        val body = try {
            json.decodeFromString<EngineRequest>(text)
        } catch (e: SerializationException) {
            respondText("bad request: ${e.message}", status = HttpStatusCode.BadRequest)
            return
        }
        mutex.withLock { running++ }
        try {
            val requestId = request.headers["X-Request-Id"]
            val lastEvent = request.headers["Last-Event-ID"]?.toIntOrNull()
            if (lastEvent == null) answer(body, requestId) else resume(requestId, lastEvent)
        } finally {
            mutex.withLock { running-- }
        }
    }

    private suspend fun ApplicationCall.resume(requestId: String?, lastEvent: Int) {
        val stored = mutex.withLock { answers.find(requestId) }
        if (stored == null) {
            respondText("no stored answer for this request id", status = HttpStatusCode.NotFound)
        } else {
            stream(stored, from = lastEvent + 1)
        }
    }

    private suspend fun ApplicationCall.answer(body: EngineRequest, requestId: String?) {
        val words = answerWords(body)
        val prompt = body.messages.sumOf { it.content.split(' ').size }
        val cached = mutex.withLock { cache.matchAndStore(body.user.orEmpty(), body.messages, words) }
        val usage = EngineUsage(prompt_tokens = prompt, completion_tokens = words.size, cached_tokens = cached)
        if (body.stream) {
            val answer = StoredAnswer(requestId, words, usage)
            mutex.withLock { answers.add(answer) }
            stream(answer, from = 0)
        } else {
            delay(tokenInterval * words.size)
            val message = EngineMessage("assistant", words.joinToString(" "))
            val reply = EngineReply(requestId, body.model, choices = listOf(EngineChoice(message = message)), usage = usage)
            respondText(json.encodeToString(reply), ContentType.Application.Json)
        }
    }

    private suspend fun ApplicationCall.stream(answer: StoredAnswer, from: Int) {
        respondTextWriter(ContentType.Text.EventStream) {
            for (index in from until answer.words.size) {
                delay(tokenInterval)
                if (breakBefore(index)) throw IOException("injected fault: connection closed before event $index")
                val word = answer.words[index]
                val delta = EngineDelta(content = if (index == 0) word else " $word")
                val chunk = EngineReply(answer.requestId, choices = listOf(EngineChoice(delta = delta)))
                write("id: $index\ndata: ${json.encodeToString(chunk)}\n\n")
                flush()
            }
            write("data: ${json.encodeToString(EngineReply(answer.requestId, usage = answer.usage))}\n\n")
            write("data: [DONE]\n\n")
            flush()
        }
    }

    private fun answerWords(body: EngineRequest): List<String> {
        val last = body.messages.lastOrNull()?.content.orEmpty()
        val text = "$name answers message ${body.messages.size}: $last"
        return text.split(' ').take(body.max_tokens ?: Int.MAX_VALUE)
    }
}

internal val json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}
