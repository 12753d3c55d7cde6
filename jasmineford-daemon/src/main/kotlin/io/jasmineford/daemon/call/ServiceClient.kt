package io.jasmineford.daemon.call

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.ktor.client.HttpClient
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.plugins.HttpRequestTimeoutException
import io.ktor.client.plugins.timeout
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpMethod
import kotlinx.io.IOException
import java.net.ConnectException
import kotlin.time.Duration

/** Answer of a service, or the reason why there is none. */
internal sealed interface ServiceReply {
    /**
     * The service answered, with any status. When [isDurable] is false, a repeated request may not get this answer
     * again.
     */
    class Answered(
        val status: Int,
        val contentType: String,
        val body: ByteArray,
        val isDurable: Boolean = true,
    ) : ServiceReply

    /** There is no answer. */
    data class Refused(val refusal: Refusal) : ServiceReply
}

/** HTTP client for services. It passes on only the headers in [FORWARDED_HEADERS], so never the caller's key. */
internal class ServiceClient(private val client: HttpClient) {
    /**
     * Sends [call] to the service. Without an answer the outcome is unknown, since the service may have received the
     * request, unless no connection was made. Connecting takes at most [connectLimit], the whole call at most [limit].
     */
    suspend fun send(
        address: String,
        call: Call,
        path: String,
        limit: Duration,
        connectLimit: Duration = limit,
    ): ServiceReply = try {
        val reply = client.request("http://$address$path") {
            method = HttpMethod.parse(call.method)
            timeout {
                requestTimeoutMillis = limit.inWholeMilliseconds.coerceAtLeast(1)
                connectTimeoutMillis = connectLimit.inWholeMilliseconds.coerceAtLeast(1)
            }
            call.headers.filter { it.name.lowercase() in FORWARDED_HEADERS }.forEach { header(it.name, it.value) }
            if (call.body.isNotEmpty()) setBody(call.body)
        }
        val contentType = reply.headers["Content-Type"] ?: "application/octet-stream"
        ServiceReply.Answered(reply.status.value, contentType, reply.bodyAsBytes())
    } catch (e: ConnectException) {
        refused(e, Reason.ENDPOINT_FAILED, Outcome.REFUSED_NOT_RUN)
    } catch (e: ConnectTimeoutException) {
        refused(e, Reason.ENDPOINT_FAILED, Outcome.REFUSED_NOT_RUN)
    } catch (e: HttpRequestTimeoutException) {
        refused(e, Reason.ENDPOINT_TIMEOUT, Outcome.OUTCOME_UNKNOWN)
    } catch (e: IOException) {
        refused(e, Reason.ENDPOINT_FAILED, Outcome.OUTCOME_UNKNOWN)
    }

    private fun refused(e: IOException, reason: Reason, outcome: Outcome) =
        ServiceReply.Refused(Refusal(reason, e.message ?: e.toString(), outcome))

    private companion object {
        val FORWARDED_HEADERS = setOf("content-type", "accept", "accept-language", "idempotency-key")
    }
}
