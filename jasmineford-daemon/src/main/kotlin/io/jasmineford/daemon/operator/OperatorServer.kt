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
import io.jasmineford.core.objective.CallCount
import io.jasmineford.daemon.control.ConfigurationChange
import io.jasmineford.daemon.control.ConfigurationPublisher
import io.jasmineford.daemon.control.PublishError
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Routing
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * State of one daemon for operators.
 *
 * @property proofAgeMs age of the proof that the generation is current; -1 before the first.
 * @property shards shards that this VM serves.
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

/** Another VM as this one sees it. */
@Serializable
data class PeerStatus(
    val vm: String,
    val zone: String,
    val operatorAddress: String,
    val isLeaving: Boolean,
    val isRevoked: Boolean,
)

/** Answer to a change of configuration. */
@Serializable
data class PublishReply(
    val isAccepted: Boolean,
    val generation: Long = 0,
    val errors: List<String> = emptyList(),
)

/** What the operator port needs from the daemon. */
internal class OperatorPort(
    val publisher: ConfigurationPublisher,
    val status: suspend () -> DaemonStatus,
    val configuration: suspend () -> Configuration,
    val isReady: suspend () -> Boolean,
    val counts: suspend () -> List<CallCount>,
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
        get("/objectives") { call.respondText(Json.encodeToString(port.counts()), ContentType.Application.Json) }
        changeRoutes(port.publisher)
    }
}

private fun Routing.changeRoutes(publisher: ConfigurationPublisher) {
    post("/release") {
        val text = call.receiveText()
        call.respondPublished(publisher.publish { current -> releaseChange(text, current) })
    }
    post("/zones/{name}/{direction}") {
        val name = call.parameters["name"].orEmpty()
        call.respondPublished(publisher.publish(serviceChange(call) { copy(zonesOut = zonesOut.with(name, it)) }))
    }
    post("/vms/{name}/{direction}") {
        val name = call.parameters["name"].orEmpty()
        call.respondPublished(publisher.publish(serviceChange(call) { copy(vmsOut = vmsOut.with(name, it)) }))
    }
}

private fun releaseChange(text: String, current: Configuration): Result<Configuration, List<ReleaseError>> =
    parseReleaseNote(text).mapError { listOf(it) }.flatMap { checkReleaseNote(it, current) }

private fun serviceChange(
    call: ApplicationCall,
    change: ServiceState.(isOut: Boolean) -> ServiceState,
): ConfigurationChange = { current ->
    val direction = call.parameters["direction"]
    if (direction == "in" || direction == "out") {
        val after = current.serviceState.change(direction == "out")
        Ok(current.copy(generation = current.generation + 1, serviceState = after))
    } else {
        Err(listOf(ReleaseError("direction", "expected in or out, actual $direction")))
    }
}

private fun Set<String>.with(name: String, isOut: Boolean): Set<String> = if (isOut) this + name else this - name

private suspend fun ApplicationCall.respondPublished(result: Result<Configuration, PublishError>) {
    val (status, reply) = result.fold(
        success = { HttpStatusCode.OK to PublishReply(isAccepted = true, generation = it.generation) },
        failure = { error ->
            when (error) {
                is PublishError.Rejected ->
                    HttpStatusCode.UnprocessableEntity to
                        PublishReply(isAccepted = false, errors = error.errors.map { it.toString() })

                is PublishError.LostRace -> HttpStatusCode.Conflict to PublishReply(
                    isAccepted = false,
                    generation = error.current,
                    errors = listOf("another change won: generation ${error.current} is in force"),
                )

                is PublishError.Unavailable ->
                    HttpStatusCode.ServiceUnavailable to PublishReply(isAccepted = false, errors = listOf(error.reason))
            }
        },
    )
    respondText(Json.encodeToString(reply), ContentType.Application.Json, status)
}
