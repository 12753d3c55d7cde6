package io.jasmineford.gateway.http

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import java.util.EnumMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Why a connection was closed, or a request on it was not handled. */
enum class RejectionReason {
    /** The listener has as many connections as it may have. */
    CONNECTIONS,

    /** The requests of all connections hold too much memory, and this connection's hold the most. */
    REQUEST_MEMORY,

    /** The request is malformed, too large or took too long to arrive. */
    INVALID_REQUEST,

    /** The daemon stops before the request has been read. */
    STOPPING,

    /** A connection could not be accepted, because the process has no descriptor left for it. */
    NOT_ACCEPTED,
}

/**
 * Counts rejected callers, and logs at most one line in [PERIOD] with their numbers by reason and the last one of them.
 *
 * @param clock clock for the period; without one, every rejection is logged.
 */
class RejectionLog(private val log: EventLog, private val clock: MonotonicClock? = null) {
    private val totals = EnumMap<RejectionReason, Long>(RejectionReason::class.java)
    private val unlogged = EnumMap<RejectionReason, Long>(RejectionReason::class.java)
    private var loggedAt = -Duration.INFINITE

    /** Number of rejections for [reason] since the start. */
    fun count(reason: RejectionReason): Long = totals[reason] ?: 0

    /** Records that [caller] was rejected for [reason]; [status] is that of the response, null if there is none. */
    fun record(reason: RejectionReason, caller: Any?, status: Int? = null) {
        totals.merge(reason, 1, Long::plus)
        unlogged.merge(reason, 1, Long::plus)
        val now = clock?.now() ?: Duration.ZERO
        if (clock != null && now - loggedAt < PERIOD) return
        loggedAt = now
        val counts = unlogged.entries.joinToString(",") { "${it.key}:${it.value}" }
        unlogged.clear()
        log.event(
            "request-rejected",
            "status" to status,
            "caller" to caller,
            "reason" to reason,
            "rejected" to counts,
        )
    }

    private companion object {
        val PERIOD = 1.seconds
    }
}
