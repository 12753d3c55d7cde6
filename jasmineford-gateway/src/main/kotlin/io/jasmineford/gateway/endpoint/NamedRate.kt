package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration

/** Rate of calls that an endpoint takes from all daemons together, as its responses name it. */
class NamedRate(private val clock: MonotonicClock) {
    /** Calls per second; null while the endpoint names no rate. */
    var perSecond: Double? = null
        private set
    private var namedAt = -Duration.INFINITE

    /** Records that a response names [rate]; returns whether that is a change. */
    fun record(rate: Double): Boolean {
        namedAt = clock.now()
        val isChange = perSecond != rate
        perSecond = rate
        return isChange
    }

    /**
     * Records a response without a rate to a request that was sent at [sentAt]; returns whether that is a change. It
     * ends the limit only if the request was sent after the last response that named one, as responses on different
     * connections may overtake each other.
     */
    fun recordNone(sentAt: Duration): Boolean {
        val isChange = perSecond != null && sentAt > namedAt
        if (isChange) perSecond = null
        return isChange
    }
}
