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
    private var lostAt: Duration? = null
    private var failures = 0

    /** Whether the latest call failed. */
    val isLost: Boolean get() = lostAt != null

    /** Time since the first failure after the latest success; null while calls succeed. */
    fun lostFor(): Duration? = lostAt?.let { clock.now() - it }

    /** Records that a call failed with [reply]. */
    fun failed(reply: StoreReply<*>) {
        if (lostAt == null) log.event("store-lost", "kind" to kind, "reply" to reply)
        lostAt = lostAt ?: clock.now()
    }

    /** Records that a call succeeded. */
    fun succeeded() {
        lostFor()?.let { log.event("store-regained", "kind" to kind, "lost_ms" to it.inWholeMilliseconds) }
        lostAt = null
        failures = 0
    }

    /** Back-off before the next attempt; doubles with each call of this function. */
    fun nextPause(): Duration {
        val pause = (FIRST_PAUSE * (1 shl failures)).coerceAtMost(MAX_PAUSE)
        failures = (failures + 1).coerceAtMost(MAX_DOUBLINGS)
        return pause
    }

    private companion object {
        /** First back-off; doubles up to [MAX_PAUSE]. */
        val FIRST_PAUSE = 100.milliseconds

        /** Short relative to the time in which a change must be applied, long relative to the cost of a call. */
        val MAX_PAUSE = 1.seconds
        const val MAX_DOUBLINGS = 4
    }
}
