package io.jasmineford.standin

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer

/** Address that every stand-in listens on. */
const val LOOPBACK: String = "127.0.0.1"

/**
 * A Ktor server on loopback.
 *
 * @param port 0 lets the system choose; [start] returns the port in use.
 */
class LoopbackServer(port: Int, module: Application.() -> Unit) : AutoCloseable {
    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, port = port, host = LOOPBACK, module = module)

    /** Starts listening and returns the port. */
    suspend fun start(): Int {
        server.startSuspend(wait = false)
        return server.engine.resolvedConnectors().first().port
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    private companion object {
        const val STOP_TIMEOUT_MS = 500L
    }
}
