package io.jasmineford.bench

import io.jasmineford.bench.config.configurationScenarios
import io.jasmineford.bench.endpoint.fairScenario
import io.jasmineford.bench.endpoint.faultScenarios
import io.jasmineford.bench.endpoint.memoryScenario
import io.jasmineford.bench.endpoint.placementScenarios
import io.jasmineford.bench.fleet.fleetScenario
import io.jasmineford.bench.fleet.league
import io.jasmineford.bench.fleet.shop
import io.jasmineford.bench.program.faultMatrix
import io.jasmineford.bench.program.programScenarios
import io.jasmineford.bench.limit.rateScenarios
import io.jasmineford.bench.ownership.ownershipScenarios

/** All scenarios, in the order in which `bench run --all` runs them. */
val scenarios: List<Scenario> = listOf(
    fleetScenario(league),
    fleetScenario(shop),
    faultMatrix,
) + placementScenarios + memoryScenario + fairScenario + faultScenarios + programScenarios + configurationScenarios +
    rateScenarios + ownershipScenarios
