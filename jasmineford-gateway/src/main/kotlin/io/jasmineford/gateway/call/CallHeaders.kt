package io.jasmineford.gateway.call

import io.jasmineford.gateway.http.CallerRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Names of the headers that carry what the scheduler needs; the deployment's adapter supplies them.
 *
 * @property signature header that every success of an endpoint carries.
 * @property systemOnly headers that callers may not set and that are removed from what they send.
 */
data class CallHeaderNames(
    val attemptId: String,
    val deadlineMillis: String,
    val accountKey: String,
    val account: String,
    val expectedEndpoint: String,
    val notExecuted: String,
    val signature: String,
    val tokenUsage: String,
    val program: String,
    val programDeadlineMillis: String,
    val tokenBudget: String,
    val previousTurn: String,
    val systemOnly: List<String>,
)

/** Headers that concern one connection only. */
private val CONNECTION_HEADERS = listOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "expect",
)

/**
 * What a caller says of its call.
 *
 * @property deadline time the caller waits, counted from the arrival.
 * @property maxTokens most tokens the turn may make.
 * @property programDeadline time until the whole program should be finished.
 */
data class CallAttributes(
    val attemptId: String,
    val deadline: Duration?,
    val accountKey: String?,
    val maxTokens: Int,
    val program: String?,
    val programDeadline: Duration?,
    val tokenBudget: Long?,
    val previousTurn: String?,
)

/** Reads the attributes of [request]; null when it lacks an attempt id or a number can't be read. */
internal fun CallHeaderNames.read(request: CallerRequest): CallAttributes? {
    val headers = request.headers
    val id = headers[attemptId]?.takeIf { it.isNotBlank() }
    val numbers = listOf(deadlineMillis, programDeadlineMillis, tokenBudget).map { headers[it] }
    val isReadable = id != null && numbers.all { it == null || it.trim().toLongOrNull() != null }
    if (id == null || !isReadable) return null
    return CallAttributes(
        attemptId = id,
        deadline = headers[deadlineMillis]?.trim()?.toLong()?.milliseconds,
        accountKey = headers[accountKey],
        maxTokens = headers[tokenUsage]?.substringAfter(',', "")?.trim()?.toIntOrNull() ?: 0,
        program = headers[program],
        programDeadline = headers[programDeadlineMillis]?.trim()?.toLong()?.milliseconds,
        tokenBudget = headers[tokenBudget]?.trim()?.toLong(),
        previousTurn = headers[previousTurn]?.takeIf { it.isNotBlank() },
    )
}

/** Headers of [request] as an endpoint may see them: without the key and what concerns one connection. */
internal fun CallHeaderNames.forwarded(request: CallerRequest): HttpHeaders {
    val copy = DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders()
    copy.add(request.headers)
    copy.removeConnectionHeaders()
    systemOnly.forEach { copy.remove(it) }
    copy.remove(accountKey)
    copy.remove(account)
    copy.remove(expectedEndpoint)
    return copy
}

/** Removes the headers that concern one connection only, and those that `Connection` names. */
internal fun HttpHeaders.removeConnectionHeaders() {
    getAll(HttpHeaderNames.CONNECTION).flatMap {
        it.split(',')
    }.map { it.trim() }.filter { it.isNotEmpty() }.forEach { remove(it) }
    CONNECTION_HEADERS.forEach { remove(it) }
}

/** Headers of a refusal: the id of the attempt and, where known, when to come back. */
internal fun refusalHeaders(names: CallHeaderNames, attemptId: String?, retryAfter: Duration?): HttpHeaders {
    val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    attemptId?.let { headers[names.attemptId] = it }
    retryAfter?.let { headers["Retry-After"] = "%.3f".format(Locale.ROOT, it.toDouble(DurationUnit.SECONDS)) }
    return headers
}
