package io.jasmineford.standin.service

import io.jasmineford.standin.LoopbackServer
import io.ktor.http.ContentType
import io.ktor.server.request.receiveText
import io.ktor.server.request.uri
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlin.time.Duration

/** One recorded side effect: path and body of a `POST`. */
data class ServiceEffect(
    val path: String,
    val body: String,
)

/**
 * HTTP stand-in for a service: `GET /stock/{item}` is idempotent, every `POST` is recorded as a side effect.
 *
 * @param port port on loopback; 0 selects a free one.
 * @param onRequest called with the raw headers of each request.
 * @param onTarget called with the path and query of each request.
 * @param answerDelay time between a side effect and its response, to simulate a service that hangs.
 */
class ServiceServer(
    port: Int = 0,
    private val onRequest: (headers: Map<String, List<String>>) -> Unit = {},
    private val onTarget: (target: String) -> Unit = {},
    private val answerDelay: (path: String) -> Duration = { Duration.ZERO },
) : AutoCloseable {
    private val mutex = Mutex()
    private val recorded = mutableListOf<ServiceEffect>()
    private val server = LoopbackServer(port) {
        routing {
            get("/stock/{item}") {
                onRequest(call.request.headers.entries().associate { it.key to it.value })
                onTarget(call.request.uri)
                val item = call.parameters["item"]
                call.respondText("""{"item":"$item","inStock":7}""", ContentType.Application.Json)
            }
            post("/{path...}") {
                onRequest(call.request.headers.entries().associate { it.key to it.value })
                onTarget(call.request.uri)
                val path = call.parameters.getAll("path").orEmpty().joinToString("/")
                val body = call.receiveText()
                val count = mutex.withLock {
                    recorded += ServiceEffect(path, body)
                    recorded.size
                }
                delay(answerDelay(path))
                call.respondText("""{"path":"$path","receipt":$count}""", ContentType.Application.Json)
            }
        }
    }

    /** Starts listening and returns the port. */
    suspend fun start(): Int = server.start()

    /** Side effects so far, in execution order. */
    suspend fun effects(): List<ServiceEffect> = mutex.withLock { recorded.toList() }

    override fun close() = server.close()
}
