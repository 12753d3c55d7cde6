package io.jasmineford.gateway.endpoint

import com.sun.management.ThreadMXBean
import io.jasmineford.core.time.VirtualClock
import java.lang.management.ManagementFactory
import kotlin.math.floor
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

class SharedRateLimiterTest {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    private val whole = RatePart(share = 1.0, rank = 0)

    /** Bytes that [CALLS] calls allocate, one in a step, all of which [perSecond] allows. */
    private fun allocatedBytes(perSecond: Double): Long {
        val clock = VirtualClock(1.seconds)
        val limiter = SharedRateLimiter(clock)
        val rates = listOf(EndpointRate(perSecond, BURST))
        limiter.tryTake(rates) { whole }
        val before = threads.currentThreadAllocatedBytes
        repeat(CALLS) {
            clock.advance(STEP)
            assertTrue(limiter.tryTake(rates) { whole }, "call $it at a rate of $perSecond")
        }
        return threads.currentThreadAllocatedBytes - before
    }

    /** Guards against a daemon that runs out of memory because an endpoint names a large number. */
    @Test
    fun `what a limiter holds does not grow with the rate`() {
        LARGE_RATES.forEach { rate ->
            val clock = VirtualClock(1.seconds)
            val limiter = SharedRateLimiter(clock)
            repeat(CALLS) {
                clock.advance(STEP)
                limiter.tryTake(listOf(EndpointRate(rate, BURST))) { whole }
                assertTrue(limiter.heldRuns <= BURST / STEP + 1, "rate $rate: ${limiter.heldRuns} runs after $it calls")
            }
        }
    }

    /**
     * Guards against objects that are made for each permit, though they are not held. The compiler of the JVM removes
     * some allocations, so the same calls may allocate several times as much as others.
     */
    @Test
    fun `what a limiter allocates does not grow with the rate`() {
        val usual = allocatedBytes(CALLS_PER_SECOND)
        LARGE_RATES.forEach { rate ->
            val bytes = allocatedBytes(rate)
            assertTrue(bytes <= 10 * usual, "rate $rate: $bytes bytes, $usual at a rate of $CALLS_PER_SECOND")
        }
    }

    /** Guards against an endpoint that gets nothing any more, since no fraction of a huge number is left. */
    @Test
    fun `a huge rate allows calls after any pause, and so does a small one behind it`() {
        val clock = VirtualClock(1.seconds)
        val limiter = SharedRateLimiter(clock)
        listOf(Double.MAX_VALUE, 10.0).forEach { perSecond ->
            val rates = listOf(EndpointRate(perSecond, BURST))
            limiter.tryTake(rates) { whole }
            listOf(1.seconds, 3600.seconds).forEach { pause ->
                clock.advance(pause)
                assertTrue(limiter.tryTake(rates) { whole }, "rate $perSecond after $pause")
            }
        }
    }

    /** Guards against runs of permits that are not the permits one by one. */
    @Test
    fun `runs of permits allow the same calls as permits that are kept one by one`() {
        val different = SEEDS.filter { seed -> !allowsTheSameCalls(Random(seed)) }
        assertEquals(emptyList(), different, "seeds")
    }

    private fun allowsTheSameCalls(random: Random): Boolean {
        val clock = VirtualClock(1.seconds)
        val limiter = SharedRateLimiter(clock)
        val counted = CountedPermits()
        val part = RatePart(random.nextDouble(), random.nextInt(MAX_RANK))
        val rates = List(3) { EndpointRate(random.nextDouble() * MAX_RATE, BURST) }
        return List(STEPS) {
            clock.advance(random.nextInt(MAX_STEP_MICROS).microseconds)
            val rate = rates.random(random)
            limiter.tryTake(listOf(rate)) { part } == counted.tryTake(clock.now(), rate, part)
        }.all { it }
    }

    /** Keeps the time of each permit. */
    private class CountedPermits {
        private val accruedAt = ArrayDeque<Duration>()
        private var updatedAt: Duration? = null
        private var fraction = 0.0

        fun tryTake(now: Duration, rate: EndpointRate, part: RatePart): Boolean {
            val perSecond = maxOf(rate.perSecond, MIN_RATE) * part.share
            val since = updatedAt ?: now.also { fraction = (part.rank * GOLDEN_RATIO).mod(1.0) }
            updatedAt = now
            val oldest = now - rate.burst
            val expired = perSecond * (oldest - since).coerceAtLeast(Duration.ZERO).toDouble(DurationUnit.SECONDS)
            fraction = (fraction + expired).mod(1.0)
            val start = maxOf(since, oldest)
            val total = fraction + perSecond * (now - start).toDouble(DurationUnit.SECONDS)
            for (number in 1..floor(total).toInt()) accruedAt.addLast(start + ((number - fraction) / perSecond).seconds)
            fraction = total - floor(total)
            accruedAt.removeAll { it < oldest }
            return accruedAt.removeFirstOrNull() != null
        }
    }

    private companion object {
        const val CALLS = 1000
        const val CALLS_PER_SECOND = 200.0
        const val MAX_RATE = 500.0
        const val MAX_RANK = 300
        const val MAX_STEP_MICROS = 30_000
        const val STEPS = 2000
        const val MIN_RATE = 0.25
        const val GOLDEN_RATIO = 0.6180339887498949
        val LARGE_RATES = listOf(1e6, Int.MAX_VALUE.toDouble(), Double.MAX_VALUE)
        val SEEDS = 1..50
        val STEP = 10.milliseconds
        val BURST = 1.seconds
    }
}
