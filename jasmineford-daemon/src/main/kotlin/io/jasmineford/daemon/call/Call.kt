package io.jasmineford.daemon.call

import com.google.common.hash.Hashing
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.key.KeyDigest
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** One HTTP header field. */
data class HeaderField(
    val name: String,
    val value: String,
)

/**
 * A caller's request after its key was checked. It never contains the key itself.
 *
 * @property account account of the key; on open routes, the account that all callers of the route share.
 * @property keyDigest null on open routes.
 * @property path path and query without credentials.
 * @property deadline on this VM's monotonic clock.
 * @property hops number of times that the call was forwarded so far.
 * @property generation generation of the configuration in which the key was found.
 */
class Call(
    val requestId: String,
    val account: ScopedName,
    val keyDigest: KeyDigest?,
    val method: String,
    val path: String,
    val headers: List<HeaderField>,
    val body: ByteArray,
    val deadline: Duration,
    val hops: Int = 0,
    val generation: Long = 0,
) {
    /** Value of the first header [name], or null. */
    fun header(name: String): String? = headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value
}

/** Digest of method, path and body, by which a repeated request is recognised. */
fun Call.digest(): String = Hashing.sha256().newHasher()
    .putUnencodedChars(method).putUnencodedChars(" ").putUnencodedChars(path).putUnencodedChars("\n")
    .putBytes(body)
    .hash().toString()

/** Event of an answer, which consists of one [Head], any number of [Data] and one [End]. */
sealed interface CallEvent {
    /** HTTP status and headers. */
    data class Head(val status: Int, val headers: List<HeaderField>) : CallEvent

    /** Part of the body. */
    class Data(val bytes: ByteArray) : CallEvent

    /** End of the answer. [reason] is null when [outcome] is a result. */
    data class End(val outcome: Outcome, val reason: Reason? = null) : CallEvent
}

/**
 * Problem details of RFC 9457, extended by the outcome of the call. [addresses] lists entry VMs that accept the request
 * instead.
 */
@Serializable
data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val reason: String,
    val addresses: List<String> = emptyList(),
)

/** Names of the HTTP headers that Jasmineford defines, and of the standard `Idempotency-Key`. */
object CallHeaders {
    const val PROGRAM = "Jasmineford-Program"
    const val TURN = "Jasmineford-Turn"
    const val HISTORY_DIGEST = "Jasmineford-History-Digest"
    const val DEADLINE_MS = "Jasmineford-Deadline-Ms"
    const val END = "Jasmineford-End"
    const val OUTCOME = "Jasmineford-Outcome"
    const val REASON = "Jasmineford-Reason"
    const val VM = "Jasmineford-Vm"
    const val ORGANISATION = "Jasmineford-Organisation"
    const val DURABLE = "Jasmineford-Durable"
    const val IDEMPOTENCY_KEY = "Idempotency-Key"
}

/** Problem details of this refusal. */
fun Refusal.toProblem(): Problem = Problem(
    type = "urn:jasmineford:problem:${reason.label}",
    title = reason.title,
    status = reason.status,
    detail = detail,
    outcome = outcome.label,
    reason = reason.label,
)

/** The whole answer that reports this refusal. */
fun Refusal.toEvents(problem: Problem = toProblem()): List<CallEvent> {
    val retry = retryAfter?.let { HeaderField("Retry-After", wholeSecondsUp(it).toString()) }
    val headers = listOfNotNull(
        HeaderField("Content-Type", "application/problem+json"),
        HeaderField(CallHeaders.OUTCOME, outcome.label),
        HeaderField(CallHeaders.REASON, reason.label),
        retry,
    )
    val body = Json.encodeToString(problem).toByteArray()
    return listOf(CallEvent.Head(reason.status, headers), CallEvent.Data(body), CallEvent.End(outcome, reason))
}

private fun wholeSecondsUp(duration: Duration): Long =
    kotlin.math.ceil(duration.toDouble(DurationUnit.SECONDS)).toLong().coerceAtLeast(1)
