package io.jasmineford.bench.program

import io.jasmineford.core.time.VirtualClock
import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event loop in virtual time; events of the same time run in the order in which they were added. */
internal class EventLoop(val clock: VirtualClock = VirtualClock()) {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var added = 0L

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        events += Event(clock.now() + delay, added++, action)
    }

    /** Runs all events up to [end], or until [isDone] returns true. */
    fun runUntil(end: Duration, isDone: () -> Boolean = { false }) {
        while (!isDone() && events.isNotEmpty() && events.peek().at <= end) {
            val event = events.remove()
            clock.advance(event.at - clock.now())
            event.action()
        }
    }

    private class Event(val at: Duration, val order: Long, val action: () -> Unit)
}
