package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.http.CallerServer
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.store.Scheduler
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Graceful shutdown of an entry daemon, in four steps:
 *
 * 1. It serves as before until callers and peers have learned of the stop.
 * 2. It closes its listener and idle connections and refuses calls that may outlast the grace period.
 * 3. Shortly before the end it sends nothing more to endpoints, and refuses the calls that still wait for one.
 * 4. At the end it answers the calls that endpoints still run as ones that may have run, and cuts off started streams.
 *
 * It is done when the last connection is closed, or when the grace period is over.
 */
internal class GracefulShutdown(
    private val clock: MonotonicClock,
    private val scheduler: Scheduler,
    private val log: EventLog,
    private val server: CallerServer,
    private val calls: OpenCalls,
) {
    private var plan: Plan? = null

    /** Whether the shutdown has begun. */
    val hasBegun: Boolean get() = plan != null

    /** Begins the shutdown unless it has begun; calls [onStopped] when it is done, after [grace] at the latest. */
    fun begin(grace: Duration, onStopped: () -> Unit) {
        if (hasBegun) return
        log.event("stopping", "open" to server.openExchanges)
        val next = Plan(clock.now(), grace)
        plan = next
        awaitEnd(next, onStopped)
    }

    /** Whether a call that arrives now and ends at [expiresAt] at the latest may be sent to an endpoint. */
    fun accepts(expiresAt: Duration): Boolean {
        val current = plan ?: return true
        val now = clock.now()
        return now < current.noticedAt || (now < current.lastSendAt && expiresAt <= current.callsEndAt)
    }

    private fun awaitEnd(current: Plan, onStopped: () -> Unit) {
        scheduler.after(CHECK_PERIOD) {
            val now = clock.now()
            if (now >= current.noticedAt) server.closeIdle()
            if (now >= current.lastSendAt) calls.stopSending()
            if (now >= current.callsEndAt) {
                calls.end()
                server.refuseUnread()
            }
            val isDone = now >= current.noticedAt && server.isEmpty
            if (isDone || now >= current.endAt) {
                log.event("stopped", "open" to server.openExchanges)
                onStopped()
            } else {
                awaitEnd(current, onStopped)
            }
        }
    }

    /** Times of the steps of a shutdown that begins at [startedAt]. */
    private class Plan(startedAt: Duration, grace: Duration) {
        val endAt = startedAt + grace
        val noticedAt = startedAt + minOf(NOTICE_TIME, grace / 2)
        val lastSendAt = endAt - minOf(LAST_SEND_TIME, grace * MAX_LAST_SEND_FRACTION)
        val callsEndAt = endAt - minOf(FLUSH_TIME, grace * MAX_FLUSH_FRACTION)
    }

    private companion object {
        val CHECK_PERIOD = 50.milliseconds

        /** Time within which callers and peers learn of the shutdown; new calls still arrive during it. */
        val NOTICE_TIME = 3.seconds

        /** Time before the end from which calls are not sent to endpoints, as most would be cut off. */
        val LAST_SEND_TIME = 1.seconds

        /** Time before the end at which open calls are answered, so that the answers reach their callers. */
        val FLUSH_TIME = 250.milliseconds

        /** Largest parts of a short grace period for the two times above. */
        const val MAX_LAST_SEND_FRACTION = 0.25
        const val MAX_FLUSH_FRACTION = 0.1
    }
}
