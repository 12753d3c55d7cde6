package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A value that takes a walk over all daemons to [compute] and is used far more often than it changes. */
internal class Cached<T : Any>(private val clock: MonotonicClock, private val compute: () -> T) {
    private var computedAt = -Duration.INFINITE
    private var latest: T? = null

    /** The value, at most [LIFETIME] old. */
    val value: T
        get() {
            val now = clock.now()
            val known = latest?.takeIf { now - computedAt < LIFETIME }
            return known ?: compute().also {
                latest = it
                computedAt = now
            }
        }

    /** Requires the value to be computed again. */
    fun invalidate() {
        computedAt = -Duration.INFINITE
    }

    private companion object {
        /** Short relative to the period of heartbeats. */
        val LIFETIME = 40.milliseconds
    }
}
