package io.jasmineford.gateway.call

import java.util.Locale
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.DurationUnit

/** Guards against retry times that callers read as other times than meant, such as with a missing leading zero. */
class RetryAfterTextTest {
    @Test
    fun `decimal seconds are those of a formatter`() {
        val times = listOf(0L, 1L, 499L, 501L, 5_000L, 50_000L, 999_499L, 999_501L, 1_000_000L, 61_007_300L)
        times.map { it.microseconds }.forEach { time ->
            assertEquals("%.3f".format(Locale.ROOT, time.toDouble(DurationUnit.SECONDS)), time.inDecimalSeconds())
        }
    }
}
