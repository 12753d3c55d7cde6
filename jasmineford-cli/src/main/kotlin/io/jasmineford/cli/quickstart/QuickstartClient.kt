package io.jasmineford.cli.quickstart

import io.jasmineford.core.address.AddressAnswer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.utils.io.readLine
import kotlinx.io.IOException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Result of one turn as received by the caller. */
internal data class TurnResult(
    val program: String,
    val turn: Int,
    val vm: String,
    val answer: String,
    val outcome: String,
    val promptTokens: Int,
    val cachedTokens: Int,
)

/** A call that ended without a result, with the outcome and reason that the daemon returned. */
internal class CallFailure(val outcome: String, val reason: String) : IOException("$outcome: $reason")

/** Client of the entry daemons that authenticates with the API key [key]. */
internal class QuickstartClient(private val key: String) : AutoCloseable {
    private val client = HttpClient(CIO)

    /** Asks the daemon at [address] for the addresses to use for [program], the preferred one first. */
    suspend fun addresses(address: String, program: String): AddressAnswer {
        val reply = client.get("http://$address/v1/addresses") {
            header("Authorization", "Bearer $key")
            header("Jasmineford-Program", program)
        }
        return Json.decodeFromString(reply.bodyAsText())
    }

    /** Runs a turn through the daemon at [address] with a streamed answer. */
    suspend fun turn(address: String, program: String, turn: Int, text: String): TurnResult {
        val body = """{"model":"drafting","stream":true,"messages":[{"role":"user","content":"$text"}]}"""
        return client.preparePost("http://$address/v1/chat/completions") {
            header("Authorization", "Bearer $key")
            header("Jasmineford-Program", program)
            header("Jasmineford-Turn", turn)
            contentType(ContentType.Application.Json)
            setBody(body)
        }.execute { reply ->
            reply.throwUnlessOk()
            reply.readTurn(program, turn)
        }
    }

    /** Posts to a service route; calls with the same [idempotencyKey] run at most once. */
    suspend fun post(address: String, path: String, program: String, idempotencyKey: String, body: String): String {
        val reply = client.post("http://$address/services/$path") {
            header("Authorization", "Bearer $key")
            header("Jasmineford-Program", program)
            header("Idempotency-Key", idempotencyKey)
            contentType(ContentType.Application.Json)
            setBody(body)
        }
        reply.throwUnlessOk()
        return reply.bodyAsText()
    }

    override fun close() = client.close()

    private suspend fun HttpResponse.throwUnlessOk() {
        if (status.value < MIN_ERROR_STATUS) return
        throw CallFailure(
            outcome = headers["Jasmineford-Outcome"] ?: "unknown",
            reason = headers["Jasmineford-Reason"] ?: bodyAsText(),
        )
    }

    private suspend fun HttpResponse.readTurn(program: String, turn: Int): TurnResult {
        val answer = StringBuilder()
        var result = TurnResult(program, turn, headers["Jasmineford-Vm"].orEmpty(), "", "unknown", 0, 0)
        val channel = bodyAsChannel()
        var event = ""
        while (true) {
            val line = channel.readLine() ?: break
            if (line.startsWith("event: ")) event = line.removePrefix("event: ")
            if (line.isEmpty()) event = ""
            val data = line.removePrefix("data: ").takeIf { it != line && it != "[DONE]" } ?: continue
            val json = Json.parseToJsonElement(data).jsonObject
            if (event == "outcome") {
                result = result.copy(outcome = json.getValue("outcome").jsonPrimitive.content)
                continue
            }
            json["choices"]?.jsonArray?.firstOrNull()?.jsonObject?.get("delta")?.jsonObject?.get("content")
                ?.let { answer.append(it.jsonPrimitive.content) }
            json["usage"]?.jsonObject?.let { usage ->
                result = result.copy(
                    promptTokens = usage["prompt_tokens"]?.jsonPrimitive?.int ?: 0,
                    cachedTokens = usage["cached_tokens"]?.jsonPrimitive?.int ?: 0,
                )
            }
        }
        return result.copy(answer = answer.toString())
    }

    private companion object {
        const val MIN_ERROR_STATUS = 400
    }
}
