package io.jasmineford.gateway.load

import kotlin.math.PI
import kotlin.math.sin
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against goodput that collapses under overload, when the processor's time goes into calls that their callers
 * have given up.
 */
class OverloadTest {
    private fun forEachSeed(
        endpointTime: (Duration) -> Duration = { 100.milliseconds },
        costFactor: (Int) -> Double = { 1.0 },
        check: (LoadModel) -> Unit,
    ) = repeat(SEEDS) { check(LoadModel(CAPACITY, isGated = true, seed = it, endpointTime, costFactor)) }

    private fun List<ModelCall>.answered() = count { it.isAnswered }
    private fun List<ModelCall>.between(from: Duration, until: Duration) = filter { it.at >= from && it.at < until }

    private fun assertShare(least: Double, calls: List<ModelCall>, of: Double = calls.size.toDouble()) {
        assertTrue(
            calls.answered() >= least * of,
            "${calls.answered()} of ${calls.size} calls answered, expected $least of $of",
        )
    }

    @Test
    fun `goodput stays above four fifths of the capacity at twice the capacity`() = forEachSeed { model ->
        model.arrivals(0.seconds, 20.seconds, CAPACITY * 2)
        model.run(30.seconds)
        assertShare(0.8, model.calls, of = CAPACITY * 20)
    }

    @Test
    fun `load that fits is served again two seconds after a burst`() = forEachSeed { model ->
        model.arrivals(0.seconds, 15.seconds, CAPACITY * 0.7)
        model.arrivals(3.seconds, 7.seconds, CAPACITY * 2)
        model.run(20.seconds)
        assertShare(0.65, model.calls.between(3.seconds, 7.seconds), of = CAPACITY * 4)
        assertShare(0.99, model.calls.between(9.seconds, 15.seconds))
    }

    @Test
    fun `goodput stays above four fifths of what fits while the load rises and falls`() = forEachSeed { model ->
        var fits = 0.0
        repeat(200) { step ->
            val rate = CAPACITY * (1.4 + 1.1 * sin(2 * PI * step / 80))
            fits += minOf(rate, CAPACITY) / 10
            val from = 100.milliseconds * step
            model.arrivals(from, from + 100.milliseconds, rate)
        }
        model.run(30.seconds)
        assertShare(0.8, model.calls, of = fits)
    }

    @Test
    fun `an account that sends many calls takes nothing from the shares of the others`() = forEachSeed { model ->
        model.arrivals(0.seconds, 20.seconds, CAPACITY * 3, account = "hot")
        val others = listOf("b", "c", "d")
        others.forEach { model.arrivals(0.seconds, 20.seconds, CAPACITY * 0.1, account = it) }
        model.run(30.seconds)
        assertShare(0.97, model.calls.filter { it.account in others })
        assertShare(0.6, model.calls, of = CAPACITY * 20)
    }

    @Test
    fun `nothing is shed while slow endpoints leave the loop on time`() = forEachSeed(
        endpointTime = { if (it < 5.seconds) 100.milliseconds else 1500.milliseconds },
    ) { model ->
        model.arrivals(0.seconds, 20.seconds, CAPACITY * 0.8)
        model.run(25.seconds)
        assertEquals(0, model.sheds)
        assertShare(1.0, model.calls)
    }

    @Test
    fun `programs under way go on at daemons that are back from a kill`() = forEachSeed(
        costFactor = { 1 + 2.0 * (1 - it / 600.0).coerceAtLeast(0.0) },
    ) { model ->
        // Half of the fleet's load returns to a daemon that has to compile its code: calls cost three times as much.
        model.arrivals(0.seconds, 10.seconds, CAPACITY * 0.25, shedClass = ShedClass.UNDER_WAY)
        model.arrivals(0.seconds, 10.seconds, CAPACITY * 1.2, shedClass = ShedClass.STARTING)
        model.run(20.seconds)
        assertShare(0.85, model.calls.filter { it.shedClass == ShedClass.UNDER_WAY })
        assertShare(0.35, model.calls, of = CAPACITY * 10)
    }

    private companion object {
        const val CAPACITY = 100.0
        const val SEEDS = 10
    }
}
