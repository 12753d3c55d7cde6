package io.jasmineford.daemon.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ReleaseError
import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.config.checkReleaseNote
import io.jasmineford.core.config.parseReleaseNote
import io.jasmineford.core.config.requestDigest
import io.jasmineford.core.objective.DecisionRecord
import io.jasmineford.core.objective.ObjectiveSnapshot
import io.jasmineford.daemon.control.PublishError
import io.jasmineford.daemon.control.PublishRequest
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.UUID

/**
 * State of one daemon for operators.
 *
 * @property generation generation of the configuration in force.
 * @property proofAgeMs age in milliseconds of the latest proof that this generation is current; -1 before the first
 *   proof.
 * @property shards number of shards that this VM serves.
 * @property programs number of programs on those shards.
 * @property segmentsWritten journal segment writes of the current incarnation.
 */
@Serializable
data class DaemonStatus(
    val vm: String,
    val zone: String,
    val generation: Long,
    val proofAgeMs: Long,
    val isLeaseValid: Boolean,
    val isLeaving: Boolean,
    val shards: Int,
    val programs: Int,
    val segmentsWritten: Long,
    val peers: List<PeerStatus>,
)

/** Another VM as its lease describes it to this one. */
@Serializable
data class PeerStatus(
    val vm: String,
    val zone: String,
    val operatorAddress: String,
    val isLeaving: Boolean,
    val isRevoked: Boolean,
)

/** Reply to a configuration change. [generation] is the one with the change, or the one in force after a conflict. */
@Serializable
data class PublishReply(
    val isAccepted: Boolean,
    val generation: Long = 0,
    val errors: List<String> = emptyList(),
)

/** Functions of the daemon that the operator port uses. */
internal class OperatorPort(
    val publish: suspend (PublishRequest) -> Result<Long, PublishError>,
    val status: suspend () -> DaemonStatus,
    val configuration: suspend () -> Configuration,
    val isReady: suspend () -> Boolean,
    val objectives: suspend () -> ObjectiveSnapshot,
    val explain: (program: String) -> List<DecisionRecord>,
    val metrics: () -> String,
)

/** HTTP routes for operators. */
internal fun Application.operatorModule(port: OperatorPort) {
    routing {
        get("/healthz") { call.respondText("ok") }
        get("/readyz") {
            val isReady = port.isReady()
            val status = if (isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable
            call.respondText(if (isReady) "ready" else "not ready", status = status)
        }
        get("/metrics") { call.respondText(port.metrics(), ContentType.Text.Plain) }
        get("/status") { call.respondText(Json.encodeToString(port.status()), ContentType.Application.Json) }
        get("/configuration") {
            call.respondText(Json.encodeToString(port.configuration()), ContentType.Application.Json)
        }
        get("/objectives") { call.respondText(Json.encodeToString(port.objectives()), ContentType.Application.Json) }
        // The id of a program contains slashes, so it spans several path segments.
        get("/programs/{path...}") {
            val path = call.parameters.getAll("path").orEmpty()
            if (path.lastOrNull() != "explain") return@get call.respond(HttpStatusCode.NotFound)
            val records = port.explain(path.dropLast(1).joinToString("/"))
            call.respondText(Json.encodeToString(records), ContentType.Application.Json)
        }
        changeRoutes(port)
    }
}

private fun Routing.changeRoutes(port: OperatorPort) {
    post("/release") {
        val text = call.receiveText()
        val result = parseReleaseNote(text).mapError { PublishError.Rejected(listOf(it)) }.flatMap { note ->
            port.publish(PublishRequest(requestDigest(text), note.buildsOn) { checkReleaseNote(note, it) })
        }
        call.respondPublished(result)
    }
    post("/zones/{name}/{direction}") {
        val name = call.parameters["name"].orEmpty()
        call.respondPublished(port.publish(serviceStateChange(call) { copy(zonesOut = zonesOut.update(name, it)) }))
    }
    post("/vms/{name}/{direction}") {
        val name = call.parameters["name"].orEmpty()
        call.respondPublished(port.publish(serviceStateChange(call) { copy(vmsOut = vmsOut.update(name, it)) }))
    }
}

/**
 * Taking a VM or zone out and putting it back apply to any generation, so a conflict is retried instead of reported.
 */
private fun serviceStateChange(
    call: ApplicationCall,
    change: ServiceState.(isOut: Boolean) -> ServiceState,
): PublishRequest = PublishRequest(digest = UUID.randomUUID().toString(), buildsOn = null) { current ->
    val direction = call.parameters["direction"]
    if (direction == "in" || direction == "out") {
        val after = current.serviceState.change(direction == "out")
        Ok(current.copy(generation = current.generation + 1, serviceState = after))
    } else {
        Err(listOf(ReleaseError("direction", "expected in or out, actual $direction")))
    }
}

private fun Set<String>.update(name: String, isOut: Boolean): Set<String> = if (isOut) this + name else this - name

private suspend fun ApplicationCall.respondPublished(result: Result<Long, PublishError>) {
    val (status, reply) = result.fold(
        success = { HttpStatusCode.OK to PublishReply(isAccepted = true, generation = it) },
        failure = { it.toReply() },
    )
    respondText(Json.encodeToString(reply), ContentType.Application.Json, status)
}

private fun PublishError.toReply(): Pair<HttpStatusCode, PublishReply> = when (this) {
    is PublishError.Rejected -> HttpStatusCode.UnprocessableEntity to rejection(errors.map { it.toString() })

    is PublishError.Superseded -> HttpStatusCode.Conflict to PublishReply(
        isAccepted = false,
        generation = current,
        errors = listOf("another change won: generation $current is in force") + names.map { "changed meanwhile: $it" },
    )

    is PublishError.NotEntitled -> HttpStatusCode.ServiceUnavailable to rejection(listOf("nothing changed: $reason"))
    is PublishError.Unavailable -> HttpStatusCode.ServiceUnavailable to rejection(listOf("nothing changed: $reason"))

    is PublishError.Unknown -> HttpStatusCode.ServiceUnavailable to
        rejection(listOf("the change may have taken effect; repeat the same request to learn whether it did: $reason"))
}

private fun rejection(errors: List<String>) = PublishReply(isAccepted = false, errors = errors)
