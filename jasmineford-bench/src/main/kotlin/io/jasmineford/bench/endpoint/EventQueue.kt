package io.jasmineford.bench.endpoint

import io.jasmineford.core.time.VirtualClock
import java.util.PriorityQueue
import kotlin.time.Duration

/** Events in virtual time, in order of their time and then of their scheduling. */
class EventQueue {
    /** Clock that shows the time of the event that runs. */
    val clock = VirtualClock()
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    /** Runs [action] at [at], or at once when that is past. */
    fun at(at: Duration, action: () -> Unit) {
        events += Event(maxOf(at, clock.now()), sequence++, action)
    }

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) = at(clock.now() + delay, action)

    /** Runs events until none is left or [limit] is reached. */
    fun run(limit: Duration = Duration.INFINITE) {
        while (events.isNotEmpty() && events.peek().at <= limit) {
            val event = events.poll()
            clock.advance(event.at - clock.now())
            event.action()
        }
    }

    private class Event(val at: Duration, val sequence: Long, val action: () -> Unit)
}
