package io.jasmineford.daemon.caller

import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.key.RequestField
import io.jasmineford.core.key.SeparatedRequest
import io.jasmineford.core.key.placeOf
import io.jasmineford.core.key.separateCredentials
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.CallHeaders
import io.jasmineford.daemon.call.ChatRequest
import io.jasmineford.daemon.call.HeaderField
import io.jasmineford.daemon.call.chatJson
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receive
import io.ktor.server.request.uri
import kotlinx.serialization.SerializationException
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A caller's request with the credentials removed from path and headers. */
internal class CallerRequest(
    private val separated: SeparatedRequest,
    private val method: String,
    private val body: ByteArray,
    private val serviceRoute: String?,
    val deadline: Duration,
) {
    /** Distinct keys that the caller presented. */
    val keys: Set<String> get() = separated.keys

    /** Program that the call belongs to, or null. */
    val program: String? get() = header(CallHeaders.PROGRAM)

    /** Route that the request names together with an organisation. Used only for open routes, which need no key. */
    val openRoute: ScopedName? by lazy {
        val organisation = header(CallHeaders.ORGANISATION)
        val name = serviceRoute ?: if (organisation != null) modelName() else null
        if (organisation != null && name != null) ScopedName(organisation, name) else null
    }

    /** Refusal of unacceptable credentials, or null. Its text never contains a key. */
    fun credentialError(): Refusal? {
        if (keys.size > 1) return Refusal(Reason.BAD_REQUEST, "expected one key, actual ${keys.size} different keys")
        val place = keys.firstNotNullOfOrNull { separated.placeOf(it, body) } ?: return null
        return Refusal(Reason.BAD_REQUEST, "the $place holds the caller's key; a key may only be sent as a credential")
    }

    /** Turns this request into a call of [caller]. */
    fun toCall(caller: Caller): Call = Call(
        requestId = UUID.randomUUID().toString(),
        account = caller.account,
        keyDigest = caller.keyDigest,
        method = method,
        path = separated.target,
        headers = separated.headers.map { HeaderField(it.name, it.value) },
        body = body,
        deadline = deadline,
        generation = caller.generation,
    )

    private fun header(name: String): String? =
        separated.headers.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    private fun modelName(): String? = try {
        chatJson.decodeFromString<ChatRequest>(body.decodeToString()).model
    } catch (_: SerializationException) {
        null
    }
}

/** Removes the credentials from the path and headers of this request. */
internal fun ApplicationCall.separateCredentials(): SeparatedRequest {
    val headers = request.headers.entries().flatMap { (name, values) -> values.map { RequestField(name, it) } }
    return separateCredentials(request.uri, headers)
}

/** Reads the whole request. Its deadline is counted from [now]. */
internal suspend fun ApplicationCall.receiveCallerRequest(
    serviceRoute: String?,
    now: Duration,
    defaultDeadline: Duration,
): CallerRequest = CallerRequest(
    separated = separateCredentials(),
    method = request.httpMethod.value,
    body = receive<ByteArray>(),
    serviceRoute = serviceRoute,
    deadline = now + (request.headers[CallHeaders.DEADLINE_MS]?.toLongOrNull()?.milliseconds ?: defaultDeadline),
)
