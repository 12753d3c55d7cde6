package io.jasmineford.core.time

import kotlin.time.Duration
import kotlin.time.TimeSource

/** Monotonic clock of one process. Readings of different processes are not comparable. */
fun interface MonotonicClock {
    /** Time since an arbitrary origin that is fixed for the lifetime of the process. */
    fun now(): Duration
}

/** Returns a clock that reads the system's monotonic time since this call. */
fun systemMonotonicClock(): MonotonicClock {
    val origin = TimeSource.Monotonic.markNow()
    return MonotonicClock { origin.elapsedNow() }
}
