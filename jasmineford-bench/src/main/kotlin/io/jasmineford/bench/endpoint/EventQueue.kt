package io.jasmineford.bench.endpoint

import io.jasmineford.core.time.VirtualClock
import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event loop in virtual time; events of the same time run in the order in which they were added. */
class EventQueue {
    /** Clock at the time of the current event. */
    val clock = VirtualClock()
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    /** Runs [action] at [at], or as the next event when that time has passed. */
    fun at(at: Duration, action: () -> Unit) {
        events += Event(maxOf(at, clock.now()), sequence++, action)
    }

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) = at(clock.now() + delay, action)

    /** Runs all events up to [limit]. */
    fun run(limit: Duration = Duration.INFINITE) {
        while (events.isNotEmpty() && events.peek().at <= limit) {
            val event = events.poll()
            clock.advance(event.at - clock.now())
            event.action()
        }
    }

    private class Event(val at: Duration, val sequence: Long, val action: () -> Unit)
}
