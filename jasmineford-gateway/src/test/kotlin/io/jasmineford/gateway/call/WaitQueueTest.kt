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

    /** Guards against programs that are cut in the middle, and against an account that takes all turns, under load. */
    @Test
    fun `under pressure programs under way come first and accounts take turns`() {
        fun addOf(name: String, account: String, isStarting: Boolean = false, latest: Duration = 5.seconds) =
            queue.add(name to SchedulingAttributes(0, latest, 10.seconds, 1.seconds, account, isStarting))
        addOf("start", "a", isStarting = true, latest = 2.seconds)
        addOf("hot 1", "hot", latest = 3.seconds)
        addOf("hot 2", "hot", latest = 4.seconds)
        addOf("single", "b")
        assertEquals(listOf("hot 1", "single", "hot 2", "start"), queue.inPressureOrder(1.seconds).map { it.first })
        assertEquals(listOf("start", "hot 1", "hot 2", "single"), order(1.seconds))
    }
}
