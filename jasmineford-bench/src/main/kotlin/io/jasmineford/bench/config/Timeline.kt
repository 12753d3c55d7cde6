package io.jasmineford.bench.config

import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event loop in virtual time; events of the same time run in the order in which they were added. */
internal class Timeline {
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var order = 0L

    /** Time of the current event. */
    var now: Duration = Duration.ZERO
        private set

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        events += Event(now + delay, order++, action)
    }

    /** Runs all events up to [end]. */
    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = end
    }

    private class Event(val at: Duration, val order: Long, val action: () -> Unit)
}
