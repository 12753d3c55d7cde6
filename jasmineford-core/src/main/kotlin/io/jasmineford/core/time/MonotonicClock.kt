package io.jasmineford.core.time

import kotlin.time.Duration
import kotlin.time.TimeSource

/** Monotonic clock of one process. Readings of different processes are never compared. */
fun interface MonotonicClock {
    /** Time since an arbitrary origin that stays fixed while the process lives. */
    fun now(): Duration
}

/** The process's own monotonic clock, counted from this call. */
fun systemMonotonicClock(): MonotonicClock {
    val origin = TimeSource.Monotonic.markNow()
    return MonotonicClock { origin.elapsedNow() }
}
