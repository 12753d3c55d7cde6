package io.jasmineford.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.jasmineford.core.address.AddressAnswer
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.objective.CallLabels
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.objective.DecisionStep
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.CallEvent
import io.jasmineford.daemon.call.CallHeaders
import io.jasmineford.daemon.call.toEvents
import io.jasmineford.daemon.call.toProblem
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
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
import kotlin.time.Duration

/**
 * Functions of the daemon that the caller port uses.
 *
 * @property isOutOfService whether this VM is leaving or out of service, so that callers must use another VM.
 * @property onAnswered called once for each answer, when it has ended.
 */
internal class CallerPort(
    val vm: String,
    val zone: String,
    val clock: MonotonicClock,
    val defaultDeadline: Duration,
    val gate: AdmissionGate,
    val decisions: DecisionLog,
    val handle: (Call) -> Flow<CallEvent>,
    val addresses: suspend (key: String?, program: String?, zone: String?) -> Result<AddressAnswer, Refusal>,
    val isOutOfService: suspend () -> Boolean,
    val onAnswered: suspend (CallLabels) -> Unit,
)

/** HTTP routes for callers. */
internal fun Application.callerModule(port: CallerPort) {
    routing {
        get("/v1/addresses") {
            val key = call.separateCredentials().keys.singleOrNull()
            val program = call.request.header(CallHeaders.PROGRAM)
            port.addresses(key, program, call.request.queryParameters["zone"]).fold(
                success = { call.respondText(Json.encodeToString(it), ContentType.Application.Json) },
                failure = { call.respondEvents(it.toEvents().asFlow(), port.vm) },
            )
        }
        post("/v1/chat/completions") { port.serve(call, serviceRoute = null) }
        route("/services/{route}/{path...}") {
            handle { port.serve(call, serviceRoute = call.parameters["route"]) }
        }
    }
}

private suspend fun CallerPort.serve(call: ApplicationCall, serviceRoute: String?) {
    val request = call.receiveCallerRequest(serviceRoute, clock.now(), defaultDeadline)
    var account: ScopedName? = null
    val events = if (isOutOfService()) {
        redirection(request.keys.singleOrNull(), request.program)
    } else {
        admit(request).fold(
            success = { caller ->
                account = caller.account
                val accepted = request.toCall(caller)
                handle(accepted).endedOnException(accepted)
            },
            failure = { it.toEvents().asFlow() },
        )
    }
    val end = call.respondEvents(events, vm)
    val program = account?.let { known -> request.program?.let { ProgramId(known, it) } }
    decisions.record(program, DecisionStep.ANSWERED, listOfNotNull(end.outcome.label, end.reason?.label).joinToString(": "))
    // A caller can send any route name, so only names from requests of a known account become metric labels.
    val route = if (account == null) "none" else serviceRoute ?: "chat"
    onAnswered(CallLabels(account, route, zone, end.outcome, end.reason))
}

private suspend fun CallerPort.admit(request: CallerRequest): Result<Caller, Refusal> {
    val refusal = request.credentialError()
    if (refusal != null) return Err(refusal)
    return gate.admit(request.keys.firstOrNull(), request.openRoute, request.deadline, request.program)
}

private suspend fun CallerPort.redirection(key: String?, program: String?): Flow<CallEvent> {
    val refusal = Refusal(Reason.VM_LEAVING, "VM $vm takes no new work")
    val problem = refusal.toProblem().copy(addresses = addresses(key, program, zone).fold({ it.addresses }, { emptyList() }))
    return refusal.toEvents(problem).asFlow()
}

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
