package io.jasmineford.standin

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer

/** Address on which all stand-ins listen. */
const val LOOPBACK: String = "127.0.0.1"

/**
 * Ktor server that listens on [LOOPBACK] only.
 *
 * @param port port to listen on; 0 selects a free one, which [start] returns.
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
