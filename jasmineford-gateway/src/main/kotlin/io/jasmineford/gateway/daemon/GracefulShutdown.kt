package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.http.CallerServer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Graceful shutdown of an entry daemon: it serves until callers and peers have learned of the stop, then refuses new
 * connections and closes idle ones, and ends when the last connection is closed or the grace period is over.
 */
internal class GracefulShutdown(private val node: NodeRuntime, private val server: CallerServer) {
    /** Whether the shutdown has begun. */
    var hasBegun = false
        private set

    /** Begins the shutdown unless it has begun; calls [onStopped] when it is done, after [grace] at the latest. */
    fun begin(grace: Duration, onStopped: () -> Unit) {
        if (hasBegun) return
        hasBegun = true
        node.log.event("stopping", "open" to server.openExchanges)
        val now = node.clock.now()
        awaitIdle(earliest = now + MIN_DURATION, latest = now + grace, onStopped)
    }

    private fun awaitIdle(earliest: Duration, latest: Duration, onStopped: () -> Unit) {
        node.scheduler.after(CHECK_PERIOD) {
            val now = node.clock.now()
            if (now >= earliest) server.closeIdle()
            val isDone = now >= earliest && server.isEmpty
            if (isDone || now >= latest) {
                node.log.event("stopped", "open" to server.openExchanges)
                onStopped()
            } else {
                awaitIdle(earliest, latest, onStopped)
            }
        }
    }

    private companion object {
        val CHECK_PERIOD = 50.milliseconds

        /** Time within which callers and peers learn of the shutdown; new calls still arrive during it. */
        val MIN_DURATION = 3.seconds
    }
}
