package io.jasmineford.cli.operator

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.objective.DecisionRecord
import io.jasmineford.core.objective.ObjectiveSnapshot
import io.jasmineford.daemon.operator.DaemonStatus
import io.jasmineford.daemon.operator.PublishReply
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.encodeURLPathPart
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whether a change puts a VM or a zone into service or takes it out. */
internal enum class Direction(val label: String) { IN("in"), OUT("out") }

/** HTTP client for the operator ports of daemons. Each error is one line that names the address. */
internal class OperatorClient(timeout: Duration = 10.seconds) : AutoCloseable {
    private val client = HttpClient(CIO) {
        install(HttpTimeout) {
            requestTimeoutMillis = timeout.inWholeMilliseconds
            connectTimeoutMillis = timeout.inWholeMilliseconds
        }
    }

    /** Status of the daemon at [address] (`host:port`). */
    suspend fun status(address: String): Result<DaemonStatus, String> = get(address, "/status")

    /** Active configuration of the daemon at [address]. */
    suspend fun configuration(address: String): Result<Configuration, String> = get(address, "/configuration")

    /** Service-level objectives and counters of the daemon at [address]. */
    suspend fun objectives(address: String): Result<ObjectiveSnapshot, String> = get(address, "/objectives")

    /** Scheduling decisions that the daemon at [address] recorded for [program]. */
    suspend fun explain(address: String, program: String): Result<List<DecisionRecord>, String> =
        get(address, "/programs/${program.split('/').joinToString("/") { it.encodeURLPathPart() }}/explain")

    /** Publishes the release note [text] (YAML). */
    suspend fun publish(address: String, text: String): Result<PublishReply, String> = post(address, "/release", text)

    /** Puts availability zone [name] into or out of service. */
    suspend fun zone(address: String, name: String, direction: Direction): Result<PublishReply, String> =
        post(address, "/zones/${name.encodeURLPathPart()}/${direction.label}")

    /** Puts VM [name] into or out of service. */
    suspend fun vm(address: String, name: String, direction: Direction): Result<PublishReply, String> =
        post(address, "/vms/${name.encodeURLPathPart()}/${direction.label}")

    override fun close() = client.close()

    private suspend inline fun <reified T> get(address: String, path: String): Result<T, String> =
        text(address) { client.get("http://$address$path").bodyAsText() }.map { Json.decodeFromString<T>(it) }

    private suspend inline fun <reified T> post(address: String, path: String, body: String = ""): Result<T, String> =
        text(address) { client.post("http://$address$path") { setBody(body) }.bodyAsText() }
            .map { Json.decodeFromString<T>(it) }

    private suspend fun text(address: String, call: suspend () -> String): Result<String, String> = try {
        Ok(call())
    } catch (e: IOException) {
        Err("operator port $address: ${e.message ?: e}")
    } catch (e: SerializationException) {
        Err("operator port $address: invalid reply: ${e.message}")
    }
}
