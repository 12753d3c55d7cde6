package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.log.EventLog
import java.util.EnumMap
import kotlin.time.Duration

/** Step of a daemon's first calls. */
enum class FirstStep {
    /** The daemon became ready to serve. */
    READY,

    /** A call was read. */
    CALL,

    /** A call passed admission control. */
    ADMITTED,

    /** A call was sent to an endpoint. */
    SENT,

    /** A call got its whole response. */
    ANSWERED,
}

/**
 * Times of a daemon's first steps of serving, which tell after a restart where calls wait: for the start, for
 * admission, for an endpoint or for the processor. One line is logged when the first call is answered.
 */
class FirstSteps(private val clock: MonotonicClock, private val log: EventLog) {
    private val startedAt = clock.now()
    private val times = EnumMap<FirstStep, Duration>(FirstStep::class.java)
    private var refused = 0
    private var longestLag = Duration.ZERO
    private val isServing: Boolean get() = FirstStep.ANSWERED in times

    /** Records that [step] is taken now; only its first time counts. */
    fun record(step: FirstStep) {
        if (isServing || times.putIfAbsent(step, clock.now() - startedAt) != null || step != FirstStep.ANSWERED) return
        log.event(
            "serving",
            "ready_ms" to times[FirstStep.READY]?.inWholeMilliseconds,
            "call_ms" to times[FirstStep.CALL]?.inWholeMilliseconds,
            "admitted_ms" to times[FirstStep.ADMITTED]?.inWholeMilliseconds,
            "sent_ms" to times[FirstStep.SENT]?.inWholeMilliseconds,
            "answered_ms" to times[FirstStep.ANSWERED]?.inWholeMilliseconds,
            "refused" to refused,
            "longest_lag_ms" to longestLag.inWholeMilliseconds,
        )
    }

    /** Counts a call that was refused by admission control. */
    fun recordRefusal() {
        refused++
    }

    /** Records the event loop's present [lag]. */
    fun recordLag(lag: Duration) {
        if (!isServing) longestLag = maxOf(longestLag, lag)
    }
}
