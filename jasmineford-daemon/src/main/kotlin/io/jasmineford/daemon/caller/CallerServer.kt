package io.jasmineford.daemon.caller

import com.github.michaelbull.result.fold
import io.jasmineford.core.address.AddressAnswer
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.objective.CallLabels
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.CallEvent
import io.jasmineford.daemon.call.CallHeaders
import io.jasmineford.daemon.call.HeaderField
import io.jasmineford.daemon.call.toEvents
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentType
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receive
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.channels.consume
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.produceIn
import kotlinx.serialization.json.Json
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What the caller port needs from the daemon. */
internal class CallerPort(
    val vm: String,
    val zone: String,
    val clock: MonotonicClock,
    val defaultDeadline: Duration,
    val gate: AdmissionGate,
    val handle: (Call) -> Flow<CallEvent>,
    val addresses: suspend (key: String?, program: String?, zone: String?) -> AddressAnswer,
    val isLeaving: () -> Boolean,
    val onAnswered: suspend (CallLabels) -> Unit,
)

/** HTTP routes for callers. */
internal fun Application.callerModule(port: CallerPort) {
    routing {
        get("/v1/addresses") {
            val program = call.request.header(CallHeaders.PROGRAM)
            val answer = port.addresses(call.presentedKey(), program, call.request.queryParameters["zone"])
            call.respondText(Json.encodeToString(answer), ContentType.Application.Json)
        }
        post("/v1/chat/completions") { port.serve(call, routeName = null) }
        route("/services/{route}/{path...}") {
            handle { port.serve(call, routeName = call.parameters["route"]) }
        }
    }
}

private suspend fun CallerPort.serve(call: ApplicationCall, routeName: String?) {
    val deadline = clock.now() + (call.request.header(CallHeaders.DEADLINE_MS)?.toLongOrNull()?.milliseconds ?: defaultDeadline)
    val key = call.presentedKey()
    val organisation = call.request.header(CallHeaders.ORGANISATION)
    val openRoute = if (routeName != null && organisation != null) ScopedName(organisation, routeName) else null
    var account: ScopedName? = null
    val events = if (isLeaving()) {
        Refusal(Reason.VM_LEAVING, "VM $vm is leaving").toEvents().asFlow()
    } else {
        gate.admit(key, openRoute, deadline).fold(
            success = { caller ->
                account = caller.account
                handle(call.toCall(caller, deadline))
            },
            failure = { it.toEvents().asFlow() },
        )
    }
    val end = call.respondEvents(events, vm)
    onAnswered(CallLabels(account, routeName ?: "chat", zone, end.outcome, end.reason))
}

private fun ApplicationCall.presentedKey(): String? =
    request.header(HttpHeaders.Authorization)?.removePrefix("Bearer ")?.trim()

private suspend fun ApplicationCall.toCall(caller: Caller, deadline: Duration): Call = Call(
    requestId = UUID.randomUUID().toString(),
    account = caller.account,
    keyDigest = caller.keyDigest,
    method = request.httpMethod.value,
    path = request.uri,
    headers = request.headers.entries()
        .filter { it.key.lowercase() !in CREDENTIAL_HEADERS }
        .flatMap { (name, values) -> values.map { HeaderField(name, it) } },
    body = receive<ByteArray>(),
    deadline = deadline,
)

/** Sends [events] to the caller and returns the end of the answer. */
private suspend fun ApplicationCall.respondEvents(events: Flow<CallEvent>, vm: String): CallEvent.End = coroutineScope {
    var end = CallEvent.End(Outcome.OUTCOME_UNKNOWN, Reason.KEEPER_LOST)
    events.buffer(Channel.RENDEZVOUS).produceIn(this).consume {
        val head = receive() as CallEvent.Head
        val type = head.headers.firstOrNull { it.name.equals("Content-Type", ignoreCase = true) }?.value
        head.headers.filterNot { it.name.equals("Content-Type", ignoreCase = true) }.forEach {
            response.header(it.name, it.value)
        }
        response.header(CallHeaders.VM, vm)
        val status = HttpStatusCode.fromValue(head.status)
        respondBytesWriter(type?.let { ContentType.parse(it) }, status) { end = copy(this@consume, this) ?: end }
    }
    end
}

private suspend fun copy(events: ReceiveChannel<CallEvent>, body: ByteWriteChannel): CallEvent.End? {
    for (event in events) {
        when (event) {
            is CallEvent.Data -> {
                body.writeFully(event.bytes)
                body.flush()
            }

            is CallEvent.End -> return event
            is CallEvent.Head -> error("expected one head, actual a second one")
        }
    }
    return null
}

private val CREDENTIAL_HEADERS = setOf("authorization", "cookie", "x-api-key", "proxy-authorization")
