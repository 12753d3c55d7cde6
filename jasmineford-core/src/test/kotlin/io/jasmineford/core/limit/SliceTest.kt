package io.jasmineford.core.limit

import kotlin.math.abs
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Guards against using tokens or slots twice when replies and returns are lost, delayed or repeated. */
class SliceTest {
    @Test
    fun `admitted requests stay within rate and burst when messages are lost or delayed`() {
        repeat(SEEDS) { seed ->
            val accepted = runSchedule(seed, AccountRate(ratePerSecond = RATE, burst = BURST))
            val excess = worstExcess(accepted, RATE, BURST)
            val count = accepted.size
            assertTrue(count > MIN_ACCEPTED, "seed $seed: expected over $MIN_ACCEPTED admitted requests, actual $count")
            assertTrue(excess <= 1e-6, "seed $seed: expected no excess over rate * t + burst, actual $excess requests")
        }
    }

    @Test
    fun `lent slots never exceed the window`() {
        val lender = SliceLender(WindowSupply(size = 8.0), SliceSettings())
        val first = lender.borrow(Duration.ZERO, "vm-a", 5.0, remainingLease = 10.seconds)
        val second = lender.borrow(Duration.ZERO, "vm-b", 5.0, remainingLease = 10.seconds)
        assertEquals(listOf(5.0, 3.0), listOf(first.slice?.units, second.slice?.units))
        lender.returnSlice(Duration.ZERO, first.slice!!.id, unused = 0.0)
        lender.returnSlice(Duration.ZERO, first.slice.id, unused = 0.0)
        assertEquals(3.0, lender.lent, "a repeated return must not free slots twice")
        assertEquals(2.seconds, lender.extend(1.seconds, second.slice!!.id, remainingLease = 10.seconds))
        assertEquals(3.0, lender.also { it.advance(2500.milliseconds) }.lent, "an extended slice keeps its slots")
        assertEquals(0.0, lender.also { it.advance(3.5.seconds) }.lent)
    }

    @Test
    fun `no slice is valid for longer than the owner's lease`() {
        val lender = SliceLender(WindowSupply(size = 8.0), SliceSettings())
        val grant = lender.borrow(Duration.ZERO, "vm-a", 1.0, remainingLease = 300.milliseconds)
        assertEquals(300.milliseconds, grant.slice?.validity)
        assertEquals(null, lender.borrow(Duration.ZERO, "vm-a", 1.0, remainingLease = Duration.ZERO).slice)
    }

    private fun runSchedule(seed: Int, rate: AccountRate): List<Duration> {
        val random = Random(seed)
        val lender = SliceLender(BucketSupply(rate, Duration.ZERO, rate.burst), SliceSettings())
        val borrowers = List(3) { SliceBorrower(SliceSettings()) }
        val pending = mutableListOf<Triple<Duration, Int, () -> Unit>>()
        val accepted = mutableListOf<Duration>()
        var now = Duration.ZERO
        fun later(borrower: Int, action: () -> Unit) {
            // One message in ten is lost, and some delays exceed the reply timeout of a borrower.
            if (random.nextInt(10) > 0) pending += Triple(now + random.nextInt(400).milliseconds, borrower, action)
        }
        fun send(borrower: Int, message: SliceMessage) = later(borrower) {
            when (message) {
                is SliceMessage.Return -> lender.returnSlice(now, message.id, message.unused)
                is SliceMessage.Borrow -> {
                    val grant = lender.borrow(now, "vm-$borrower", message.units, remainingLease = 1.seconds)
                    later(borrower) { borrowers[borrower].onGrant(now, message, grant) }
                }
            }
        }
        while (now < 20.seconds) {
            val busy = (now.inWholeSeconds / 3 + seed) % 2 == 0L
            borrowers.forEachIndexed { index, borrower ->
                if (busy && random.nextInt(3) == 0 && borrower.tryTake(now) != null) accepted += now
                borrower.poll(now).forEach { send(index, it) }
            }
            val due = pending.filter { it.first <= now }
            pending.removeAll(due)
            due.forEach { it.third() }
            now += random.nextInt(1, 30).milliseconds
        }
        return accepted
    }

    private companion object {
        const val SEEDS = 300
        const val MIN_ACCEPTED = 50
        const val RATE = 20.0
        const val BURST = 10.0
    }
}

/** Largest number of requests in any interval beyond `rate * t + burst`; negative when the limit was never reached. */
internal fun worstExcess(accepted: List<Duration>, rate: Double, burst: Double): Double {
    var level = burst
    var last = accepted.firstOrNull() ?: return -burst
    var worst = -burst
    for (at in accepted) {
        level = minOf(burst, level + abs((at - last).toDouble(DurationUnit.SECONDS)) * rate) - 1.0
        last = at
        worst = maxOf(worst, -level)
    }
    return worst
}
