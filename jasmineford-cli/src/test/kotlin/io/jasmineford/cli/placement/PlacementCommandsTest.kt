package io.jasmineford.cli.placement

import com.github.ajalt.clikt.testing.test
import io.jasmineford.cli.rootCommand
import io.jasmineford.core.placement.EndpointReport
import io.jasmineford.core.placement.PlacementCosts
import io.jasmineford.core.placement.PlacementOutcome
import io.jasmineford.core.placement.PlacementReport
import io.jasmineford.core.placement.WorkReport
import kotlin.test.Test
import kotlin.test.assertEquals

class PlacementCommandsTest {
    @Test
    fun `a report shows the decision and a row with every part for each endpoint`() {
        val endpoint = EndpointReport(
            id = "e1",
            zone = "a",
            version = "v1",
            obstacle = "all slots in use",
            callsInFlight = 4,
            slots = 4,
            costs = PlacementCosts(load = 1.0, quality = 0.25, zone = 0.5, affinity = 0.125),
            work = WorkReport(20.0, remainingMillis = 80.0, speed = 1.5, neededTokens = 30, usedTokens = 90, 100),
        )
        val report = PlacementReport(
            outcome = PlacementOutcome.WAITS,
            route = "chat",
            service = "models",
            reason = "no endpoint may take the call now",
            isOverloaded = true,
            endpoints = listOf(endpoint),
        )
        val lines = describe(report).lines().map { it.trim().split(Regex(" +")).joinToString(" ") }
        val expected = listOf(
            "waits: no endpoint may take the call now",
            "route chat, service models, by calls in flight, 0 calls wait",
            "the daemon is overloaded and may shed the call before it is placed",
            "ENDPOINT ZONE CALLS WORK_MS LEFT_MS SPEED MEMORY LOAD QUALITY ZONE_C AFFIN SCORE OBSTACLE",
            "e1 a 4/4 20.00 80.00 1.50 90+30/100 1.00 0.25 0.50 0.13 1.88 all slots in use",
        )
        assertEquals(expected, lines)
    }

    @Test
    fun `a daemon that does not answer gives one line of error and its own exit code`() {
        val result = rootCommand().test("placement explain --metrics 127.0.0.1:1 --host h --path /p/1")
        assertEquals(3, result.statusCode)
        assertEquals(1, result.stderr.trim().lines().size)
    }
}
