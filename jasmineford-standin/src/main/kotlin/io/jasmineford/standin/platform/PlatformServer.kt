package io.jasmineford.standin.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.jasmineford.standin.LoopbackServer
import io.jasmineford.store.DEFAULT_PAGE_SIZE
import io.jasmineford.store.PutRequest
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoreErrorBody
import io.jasmineford.store.VmListing
import io.jasmineford.store.describe
import io.jasmineford.store.storeJson
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.response.respondTextWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.serialization.SerializationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * HTTP server in front of a [FakeObjectStore]: object API, VM list, model weight store and fault injection.
 *
 * `POST /faults/down` and `POST /faults/up` begin and end a store outage; `GET /counts` returns the numbers of store
 * calls.
 *
 * @param port port on loopback; 0 selects a free one.
 * @param vms returns the rows of the VM list; a test may return stale rows.
 * @param weightInterval minimum time between two reads of the weight store, which serves one read at a time.
 */
class PlatformServer(
    port: Int = 0,
    private val store: FakeObjectStore = FakeObjectStore(),
    private val vms: () -> List<VmListing> = { emptyList() },
    private val weightInterval: Duration = 1.seconds,
) : AutoCloseable {
    private val mutex = Mutex()
    private val weightMutex = Mutex()
    private val server = LoopbackServer(port) {
        routing {
            objectRoutes()
            platformRoutes()
        }
    }

    /** Starts listening and returns the port. */
    suspend fun start(): Int = server.start()

    /** Runs [block] on the store while no request uses it. */
    suspend fun <T> withStore(block: FakeObjectStore.() -> T): T = mutex.withLock { store.block() }

    override fun close() = server.close()

    private fun Route.objectRoutes() {
        get("/objects/{key...}") {
            val key = call.objectKey()
            call.reply(withStore { get(key) })
        }
        put("/objects/{key...}") { call.put() }
        delete("/objects/{key...}") {
            val key = call.objectKey()
            val version = call.parameters["resourceVersion"]?.toLongOrNull() ?: 0
            withStore { delete(key, version) }.fold(
                success = { call.respondText("", status = HttpStatusCode.NoContent) },
                failure = { call.replyError(it) },
            )
        }
        get("/objects") { if (call.parameters["watch"] == null) call.list() else call.watch() }
    }

    private fun Route.platformRoutes() {
        get("/vms") { call.respondText(storeJson.encodeToString(vms()), ContentType.Application.Json) }
        get("/weights/{model}") {
            weightMutex.withLock { delay(weightInterval) }
            call.respondText("weights of ${call.parameters["model"]}")
        }
        post("/faults/down") {
            withStore { isDown = true }
            call.respondText("down")
        }
        post("/faults/up") {
            withStore { isDown = false }
            call.respondText("up")
        }
        get("/counts") { call.respondText(withStore { counts }.toString()) }
    }

    private suspend fun ApplicationCall.put() {
        val key = objectKey()
        val body = try {
            storeJson.decodeFromString<PutRequest>(receiveText())
        } catch (e: SerializationException) {
            respondText("malformed put request: ${e.message}", status = HttpStatusCode.BadRequest)
            return
        }
        reply(withStore { put(key, body.value, body.resourceVersion, body.nonce) })
    }

    private suspend fun ApplicationCall.list() {
        val prefix = parameters["prefix"].orEmpty()
        val limit = parameters["limit"]?.toIntOrNull() ?: DEFAULT_PAGE_SIZE
        reply(withStore { list(prefix, limit, parameters["continue"]) })
    }

    private suspend fun ApplicationCall.watch() {
        val prefix = parameters["prefix"].orEmpty()
        var revision = parameters["watch"]?.toLongOrNull() ?: 0
        val first = withStore { changesAfter(revision, prefix) }
        if (!first.isOk) {
            reply(first)
            return
        }
        respondTextWriter(ContentType.Application.Json) {
            while (true) {
                val (events, seen) = withStore { changesAfter(revision, prefix) to this.revision }
                val changes = events.get() ?: break
                for (event in changes) write(storeJson.encodeToString(event) + "\n")
                // Writing a blank line to a closed connection fails, which ends the watch of a disconnected client.
                if (changes.isEmpty()) write("\n")
                flush()
                revision = maxOf(revision, seen)
                delay(WATCH_POLL)
            }
        }
    }

    private fun ApplicationCall.objectKey() = parameters.getAll("key").orEmpty().joinToString("/")

    private companion object {
        val WATCH_POLL = 20.milliseconds
    }
}

private suspend inline fun <reified T> ApplicationCall.reply(result: Result<T, StoreError>) {
    result.fold(
        success = { value ->
            if (value == null) {
                respondText("", status = HttpStatusCode.NotFound)
            } else {
                respondText(storeJson.encodeToString(value), ContentType.Application.Json)
            }
        },
        failure = { replyError(it) },
    )
}

private suspend fun ApplicationCall.replyError(error: StoreError) {
    val body = when (error) {
        is StoreError.Conflict -> StoreErrorBody(error.describe(), current = error.current)
        is StoreError.Expired -> StoreErrorBody(error.describe(), oldestRevision = error.oldestRevision)
        else -> StoreErrorBody(error.describe())
    }
    val status = when (error) {
        is StoreError.Conflict -> HttpStatusCode.Conflict
        is StoreError.Expired -> HttpStatusCode.Gone
        is StoreError.TooLarge -> HttpStatusCode.PayloadTooLarge
        is StoreError.Unavailable -> HttpStatusCode.ServiceUnavailable
    }
    respondText(storeJson.encodeToString(body), ContentType.Application.Json, status)
}
