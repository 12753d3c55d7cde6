package io.jasmineford.gateway.call

import io.jasmineford.gateway.cost.CallHints
import io.jasmineford.gateway.cost.callHintsOf
import io.jasmineford.gateway.http.CallerRequest
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.util.AsciiString
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Names of the HTTP headers that the scheduler reads and sets; the platform's integration supplies them.
 *
 * @property accountKey API key by which a call is assigned to its client account.
 * @property expectedEndpoint id of the endpoint to which a request is addressed; another one rejects it.
 * @property notExecuted present on responses of endpoints that did not run the call.
 * @property signature present on every successful response of an endpoint.
 * @property resumedAttempt id of the attempt that brought the first event of a stream that the caller takes up again.
 * @property rateLimit calls per second that an endpoint takes from all daemons together, on its responses.
 * @property leaving `1` on responses of endpoints that are leaving and take no calls from the daemon any more.
 * @property endpointId id of the endpoint that responds, on responses that name it.
 * @property lengthHint the caller's estimate of the tokens that the call generates.
 * @property promptParts leading parts of the prompt that calls share, see [callHintsOf].
 * @property systemOnly headers that callers may not set; they are removed from their requests.
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
    val resumedAttempt: String,
    val rateLimit: String,
    val leaving: String,
    val endpointId: String,
    val lengthHint: String,
    val promptParts: String,
    val systemOnly: List<String>,
)

/**
 * Hop-by-hop headers, and those that the proxy sets itself or does not forward. These strings keep their hash, which
 * Netty otherwise computes at each access.
 */
private val CONNECTION_HEADERS = listOf(
    "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade", "content-length", "expect",
).map(AsciiString::cached)

/**
 * Attributes of a call, from its request headers.
 *
 * @property deadline how long the caller waits, from the arrival of the call.
 * @property maxTokens maximum number of tokens that the turn may produce.
 * @property programDeadline time left for the whole program, from the arrival of the call.
 * @property tokenBudget tokens that all turns of the program together may produce; null for no limit.
 * @property previousTurn id of the turn that this one continues.
 * @property resumedAttempt id of the attempt that began the stream which this one takes up again; null for a new one.
 * @property hints what the caller tells of the call's work.
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
    val resumedAttempt: String? = null,
    val hints: CallHints = CallHints(),
)

/** Reads the attributes of [request]; null when the attempt id is missing or a number is malformed. */
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
        resumedAttempt = headers[resumedAttempt]?.takeIf { it.isNotBlank() },
        hints = callHintsOf(headers[tokenUsage], headers[lengthHint], headers[promptParts]),
    )
}

/** Headers of [request] to forward to an endpoint: without the API key, system headers and hop-by-hop headers. */
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

/** Removes the hop-by-hop headers, including those that `Connection` names. */
internal fun HttpHeaders.removeConnectionHeaders() {
    getAll(HttpHeaderNames.CONNECTION).flatMap {
        it.split(',')
    }.map { it.trim() }.filter { it.isNotEmpty() }.forEach { remove(it) }
    CONNECTION_HEADERS.forEach { remove(it) }
}

/** Headers of a refusal or failure: the attempt id and, if given, the time after which to retry. */
internal fun refusalHeaders(names: CallHeaderNames, attemptId: String?, retryAfter: Duration?): HttpHeaders {
    val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
    attemptId?.let { headers[names.attemptId] = it }
    retryAfter?.let { headers["Retry-After"] = it.inDecimalSeconds() }
    return headers
}

/** Seconds with three decimals, as `%.3f` formats them, but without a parser: overloaded daemons send many refusals. */
internal fun Duration.inDecimalSeconds(): String {
    val millis = (inWholeMicroseconds + MICROS_PER_MILLI / 2) / MICROS_PER_MILLI
    return "${millis / MILLIS_PER_SECOND}.${(millis % MILLIS_PER_SECOND).toString().padStart(DECIMALS, '0')}"
}

private const val MICROS_PER_MILLI = 1000
private const val MILLIS_PER_SECOND = 1000
private const val DECIMALS = 3
