package io.jasmineford.gateway.call

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class WaitQueueTest {
    private val queue = WaitQueue<Pair<String, SchedulingAttributes>> { it.second }

    private fun add(
        name: String,
        priority: Int = 0,
        latest: Duration = 5.seconds,
        expires: Duration = 10.seconds,
        at: Duration = 1.seconds,
    ) =
        queue.add(name to SchedulingAttributes(priority, latest, expires, at))

    private fun order(now: Duration) = queue.inOrder(now).map { it.first }

    @Test
    fun `the call with the earliest program deadline is served first`() {
        add("relaxed", latest = 8.seconds)
        add("urgent", latest = 3.seconds)
        assertEquals(listOf("urgent", "relaxed"), order(1.seconds))
    }

    @Test
    fun `a priority level counts as a fixed time`() {
        add("low", priority = 1, latest = 5.seconds)
        add("high", priority = 0, latest = 5200.milliseconds)
        add("low but urgent", priority = 1, latest = 4.seconds)
        assertEquals(listOf("low but urgent", "high", "low"), order(1.seconds))
    }

    @Test
    fun `calls of late programs are served after those that can be on time`() {
        add("late", latest = 1.seconds, at = 1900.milliseconds)
        add("in time", latest = 9.seconds, at = 1900.milliseconds)
        assertEquals(listOf("in time", "late"), order(2.seconds))
    }

    @Test
    fun `a call that has waited for long is served first whatever its priority`() {
        add("old and late", priority = 5, latest = 1.seconds, at = 1.seconds)
        add("new", latest = 4.seconds, at = 2900.milliseconds)
        assertEquals(listOf("old and late", "new"), order(3.seconds))
    }

    @Test
    fun `calls that cannot be answered in time are removed`() {
        add("hopeless", expires = 3.seconds)
        add("possible", expires = 4.seconds)
        assertEquals(listOf("hopeless"), queue.removeExpired(2990.milliseconds, 20.milliseconds).map { it.first })
        assertEquals(listOf("possible"), order(3.seconds))
    }
}
