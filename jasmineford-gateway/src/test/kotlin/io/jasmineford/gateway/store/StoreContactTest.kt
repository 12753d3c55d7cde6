package io.jasmineford.gateway.store

import io.jasmineford.core.time.VirtualClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class StoreContactTest {
    private val clock = VirtualClock()
    private var wall = 1_000_000L
    private val contact = StoreContact(clock) { wall }

    private fun pass(time: Duration) {
        clock.advance(time)
        wall += time.inWholeMilliseconds
    }

    @Test
    fun `the age is infinite without a confirmation`() {
        assertEquals(Duration.INFINITE, contact.age())
    }

    @Test
    fun `an older confirmation does not replace a newer one`() {
        pass(2.seconds)
        contact.confirm(1500.milliseconds)
        contact.confirm(1.seconds)
        assertEquals(500.milliseconds, contact.age())
    }

    @Test
    fun `a suspension visible only on the wall clock invalidates the confirmation`() {
        contact.confirm(clock.now())
        pass(1.seconds)
        assertEquals(1.seconds, contact.age())
        wall += 3000
        assertEquals(Duration.INFINITE, contact.age())
    }
}
