package io.jasmineford.gateway.store

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks for how long store calls for one kind of objects have been failing, and the back-off before the next attempt.
 */
internal class StoreOutage(
    private val kind: ObjectKind,
    private val clock: MonotonicClock,
    private val log: EventLog,
) {
    private var failingSince: Duration? = null
    private var failures = 0

    /** Time since the first failure after the latest success; null while calls succeed. */
    fun duration(): Duration? = failingSince?.let { clock.now() - it }

    /** Records that a call failed with [reply]. */
    fun recordFailure(reply: StoreReply<*>) {
        if (failingSince == null) log.event("store-lost", "kind" to kind, "reply" to reply)
        failingSince = failingSince ?: clock.now()
    }

    /** Records that a call succeeded. */
    fun recordSuccess() {
        duration()?.let { log.event("store-regained", "kind" to kind, "lost_ms" to it.inWholeMilliseconds) }
        failingSince = null
        failures = 0
    }

    /** Back-off before the next attempt; doubles with each call of this function. */
    fun nextBackoff(): Duration {
        val backoff = (INITIAL_BACKOFF * (1 shl failures)).coerceAtMost(MAX_BACKOFF)
        failures = (failures + 1).coerceAtMost(MAX_DOUBLINGS)
        return backoff
    }

    private companion object {
        /** First back-off; doubles up to [MAX_BACKOFF]. */
        val INITIAL_BACKOFF = 100.milliseconds

        /** Short relative to the time in which a change must be applied, long relative to the cost of a call. */
        val MAX_BACKOFF = 1.seconds
        const val MAX_DOUBLINGS = 4
    }
}
