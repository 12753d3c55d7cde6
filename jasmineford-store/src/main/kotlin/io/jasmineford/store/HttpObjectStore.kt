package io.jasmineford.store

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.timeout
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.request.prepareGet
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.encodeURLPath
import io.ktor.utils.io.readLine
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.io.IOException
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Body of a put request. */
@Serializable
data class PutRequest(
    val value: String,
    val resourceVersion: Long,
    val nonce: String,
)

/**
 * Body of an error reply.
 *
 * @property current the stored object, on a conflict.
 * @property oldestRevision oldest revision that the store still keeps, when a watch or continue token is too old.
 */
@Serializable
data class StoreErrorBody(
    val message: String,
    val current: StoredObject? = null,
    val oldestRevision: Long = 0,
)

/**
 * Client of the object API over HTTP.
 *
 * @param baseUrl for example `http://127.0.0.1:7000`.
 * @param callTimeout limit of one call; a call that exceeds it fails with [StoreError.Unavailable]. Watches have no
 *   limit.
 */
class HttpObjectStore(
    private val baseUrl: String,
    callTimeout: Duration = 2.seconds,
) : ObjectStore, AutoCloseable {
    private val client = HttpClient(CIO) {
        install(HttpTimeout) {
            requestTimeoutMillis = callTimeout.inWholeMilliseconds
            connectTimeoutMillis = callTimeout.inWholeMilliseconds
        }
    }

    override suspend fun get(key: String): Result<StoredObject?, StoreError> = call {
        val reply = client.get(objectUrl(key))
        if (reply.status == HttpStatusCode.NotFound) Ok(null) else reply.decode<StoredObject>()
    }

    override suspend fun put(
        key: String,
        value: String,
        expectedVersion: Long,
        nonce: String,
    ): Result<StoredObject, StoreError> = call {
        val body = PutRequest(value = value, resourceVersion = expectedVersion, nonce = nonce)
        client.put(objectUrl(key)) {
            contentType(ContentType.Application.Json)
            setBody(storeJson.encodeToString(body))
        }.decode<StoredObject>()
    }

    override suspend fun delete(key: String, expectedVersion: Long): Result<Unit, StoreError> = call {
        val reply = client.delete(objectUrl(key)) { parameter("resourceVersion", expectedVersion) }
        if (reply.status == HttpStatusCode.NoContent) Ok(Unit) else Err(reply.toError())
    }

    override suspend fun list(
        prefix: String,
        limit: Int,
        continueToken: String?,
    ): Result<ObjectPage, StoreError> = call {
        client.get("$baseUrl/objects") {
            parameter("prefix", prefix)
            parameter("limit", limit)
            continueToken?.let { parameter("continue", it) }
        }.decode<ObjectPage>()
    }

    override fun watch(prefix: String, fromRevision: Long): Flow<WatchEvent> = flow {
        val statement = client.prepareGet("$baseUrl/objects") {
            parameter("prefix", prefix)
            parameter("watch", fromRevision)
            timeout { requestTimeoutMillis = Long.MAX_VALUE }
        }
        statement.execute { reply ->
            if (reply.status != HttpStatusCode.OK) return@execute
            val channel = reply.bodyAsChannel()
            while (true) {
                val line = channel.readLine() ?: break
                if (line.isNotBlank()) emit(storeJson.decodeFromString<WatchEvent>(line))
            }
        }
    }

    override suspend fun vms(): Result<List<VmListing>, StoreError> = call {
        client.get("$baseUrl/vms").decode<List<VmListing>>()
    }

    override fun close() = client.close()

    private fun objectUrl(key: String) = "$baseUrl/objects/${key.encodeURLPath()}"

    private suspend fun <T> call(block: suspend () -> Result<T, StoreError>): Result<T, StoreError> = try {
        block()
    } catch (e: IOException) {
        Err(StoreError.Unavailable(e.message ?: e.toString()))
    } catch (e: SerializationException) {
        Err(StoreError.Unavailable("unreadable reply: ${e.message}"))
    }

    private suspend inline fun <reified T> HttpResponse.decode(): Result<T, StoreError> =
        if (status == HttpStatusCode.OK) Ok(storeJson.decodeFromString<T>(bodyAsText())) else Err(toError())
}

private suspend fun HttpResponse.toError(): StoreError {
    val text = bodyAsText()
    return when (status) {
        HttpStatusCode.Conflict -> StoreError.Conflict(storeJson.decodeFromString<StoreErrorBody>(text).current)
        HttpStatusCode.Gone -> StoreError.Expired(storeJson.decodeFromString<StoreErrorBody>(text).oldestRevision)
        HttpStatusCode.PayloadTooLarge -> StoreError.TooLarge(bytes = 0, limitBytes = MAX_VALUE_BYTES)
        else -> StoreError.Unavailable("status ${status.value}")
    }
}

/** JSON format of the object API. Unknown fields are ignored, so that the platform can add fields. */
val storeJson: Json = Json { ignoreUnknownKeys = true }
