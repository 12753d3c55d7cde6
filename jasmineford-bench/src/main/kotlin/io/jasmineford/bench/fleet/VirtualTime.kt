package io.jasmineford.bench.fleet

import io.jasmineford.core.time.VirtualClock
import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event loop in virtual time; events of the same time run in the order in which they were added. */
class VirtualTime {
    private val events = PriorityQueue<Event>()
    private var sequence = 0L

    /** Clock of the loop. All VMs of a run may share it, since they never compare clock readings. */
    val clock = VirtualClock()

    /** Time since the start of the run. */
    val now: Duration get() = clock.now()

    /** Runs [action] at [time], or as the next event when that time has passed. */
    fun at(time: Duration, action: () -> Unit) {
        events.add(Event(maxOf(time, now), sequence++, action))
    }

    /** Runs [action] after [delay]. */
    fun after(delay: Duration, action: () -> Unit) = at(now + delay, action)

    /** Runs [action] every [interval] from now on, until [end]. */
    fun every(interval: Duration, end: Duration, action: () -> Unit) {
        if (now > end) return
        action()
        after(interval) { every(interval, end, action) }
    }

    /** Runs all events up to [end]. */
    fun runUntil(end: Duration) {
        while (true) {
            val next = events.peek()?.takeIf { it.time <= end } ?: break
            events.poll()
            clock.advance(next.time - now)
            next.action()
        }
        clock.advance(end - now)
    }

    private class Event(val time: Duration, val sequence: Long, val action: () -> Unit) : Comparable<Event> {
        override fun compareTo(other: Event): Int = compareValuesBy(this, other, { it.time }, { it.sequence })
    }
}
