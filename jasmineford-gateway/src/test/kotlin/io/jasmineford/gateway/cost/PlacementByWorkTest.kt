package io.jasmineford.gateway.cost

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Guards against a placement by work that is worse than counting calls where calls and endpoints differ. */
class PlacementByWorkTest {
    @Test
    fun `calls of different work at endpoints of different speed begin and end earlier than by counting calls`() {
        SEEDS.forEach { seed ->
            val (counted, byWork) = listOf(false, true).map { PlacementSimulation(seed, it).run(30.seconds) }
            println("seed $seed counted: ${figures(counted)}; by work: ${figures(byWork)}")
            listOf(PlacementSimulation::firstEvents, PlacementSimulation::ends).forEach { times ->
                val (before, after) = listOf(counted, byWork).map { times(it).percentile(0.95) }
                assertTrue(after < before, "seed $seed ${times.name}: p95 $before ms, by work $after ms")
            }
            assertTrue(byWork.busiest.average() < counted.busiest.average(), "seed $seed: work of the busiest")
        }
    }

    private fun figures(run: PlacementSimulation) =
        "p95 first event %.0f ms, end %.0f ms, busiest/mean %.2f, busiest %.0f ms, calls %d".format(
            run.firstEvents.percentile(0.95),
            run.ends.percentile(0.95),
            run.busiestOverMean.average(),
            run.busiest.average(),
            run.ends.size,
        )

    @Test
    fun `corrected hints are not further off than the hints, and less where these are far off`() {
        SEEDS.forEach { seed ->
            val run = PlacementSimulation(seed, byWork = true).run(30.seconds)
            run.estimateErrors.forEach { (route, errors) ->
                val (estimates, hints) = listOf(errors, run.hintErrors.getValue(route)).map { all ->
                    listOf(0.5, 0.9).map { (exp(all.percentile(it)) * 100).roundToInt() / 100.0 }
                }
                println("seed $seed $route: p50 and p90 of the factor of error: $estimates, hints $hints")
                assertTrue(estimates[0] < hints[0] * 1.1, "seed $seed $route: p50 $estimates, hints $hints")
                assertTrue(estimates[1] < hints[1], "seed $seed $route: p90 $estimates, hints $hints")
            }
        }
    }

    private companion object {
        val SEEDS = 1..5
    }
}
