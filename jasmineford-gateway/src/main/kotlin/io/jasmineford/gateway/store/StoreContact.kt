package io.jasmineford.gateway.store

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Age of the latest confirmation that this daemon's configuration is the one in the store.
 *
 * A confirmation holds as of the start of a read that the store answered, to this daemon or to a peer whose
 * configuration is not newer. The monotonic clock does not advance while the process is suspended, so a jump of the
 * wall clock relative to it invalidates the confirmation.
 *
 * @param wallMillis Unix time in milliseconds.
 */
class StoreContact(
    private val clock: MonotonicClock,
    private val wallMillis: () -> Long,
) {
    private var confirmedAt: Duration? = null
    private var lastNow = clock.now()
    private var lastWall = wallMillis()

    /** Records a confirmation that held at [at]; older ones than the known one are ignored. */
    fun confirm(at: Duration) {
        checkSuspension()
        if (at > (confirmedAt ?: -Duration.INFINITE)) confirmedAt = at
    }

    /** Time since the latest confirmation; infinite when there is none. */
    fun age(): Duration {
        checkSuspension()
        return confirmedAt?.let { clock.now() - it } ?: Duration.INFINITE
    }

    private fun checkSuspension() {
        val now = clock.now()
        val wall = wallMillis()
        val suspended = (wall - lastWall).milliseconds - (now - lastNow)
        if (suspended > MAX_CLOCK_DRIFT) confirmedAt = null
        lastNow = now
        lastWall = wall
    }

    private companion object {
        /** Difference between the two clocks' advances that is attributed to drift rather than to a suspension. */
        val MAX_CLOCK_DRIFT = 400.milliseconds
    }
}
