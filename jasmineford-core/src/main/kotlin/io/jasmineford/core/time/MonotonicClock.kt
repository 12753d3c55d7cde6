package io.jasmineford.core.time

import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/** Monotonic clock of one process. Readings of different processes are not comparable. */
fun interface MonotonicClock {
    /** Time since an arbitrary origin that is fixed for the lifetime of the process. */
    fun now(): Duration
}

/** Returns a clock that reads the system's monotonic time since this call. */
fun systemMonotonicClock(): MonotonicClock {
    // Time marks of the standard library take several calls for each reading, and daemons read the clock very often.
    val origin = System.nanoTime()
    return MonotonicClock { (System.nanoTime() - origin).nanoseconds }
}
