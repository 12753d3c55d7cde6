package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.measure.DecayingAverage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How much later than on idle event loops the usage of the other daemons becomes known here, by the round trips of
 * heartbeats. A busy event loop handles each received heartbeat late, and relayed usage passes several of them.
 */
internal class ReportLag(private val clock: MonotonicClock) {
    private val roundTrips = DecayingAverage(clock, baseline = 0.0, SAMPLE_WEIGHT, DECAY_TIME)

    /** Records a heartbeat that echoes a message sent at [echoedSentAt]; [isReply] if the peer answered it at once. */
    fun record(echoedSentAt: Duration, isReply: Boolean) {
        val expected = IDLE_ROUND_TRIP + if (isReply) Duration.ZERO else MAX_REPLY_WAIT
        val excess = clock.now() - echoedSentAt - expected
        roundTrips.add(excess.coerceIn(Duration.ZERO, MAX_SAMPLE).inWholeMilliseconds.toDouble())
    }

    /** Additional age of the reported usage; half a round trip for each of the [hops] that it passes. */
    fun value(hops: Int): Duration = (roundTrips.value * hops / 2).milliseconds

    private companion object {
        /** Round trip between idle daemons, with some time for timers that fire late. */
        val IDLE_ROUND_TRIP = 20.milliseconds

        /** Period of heartbeats, after which a relay's next message to another relay echoes the latest one. */
        val MAX_REPLY_WAIT = 200.milliseconds

        /** A longer round trip tells of a lost datagram or a peer that is away. */
        val MAX_SAMPLE = 1.seconds

        /** A few heartbeats determine the average, as load rises within a second. */
        const val SAMPLE_WEIGHT = 0.3

        /** Time constant of the decay without heartbeats. */
        val DECAY_TIME = 2.seconds
    }
}
