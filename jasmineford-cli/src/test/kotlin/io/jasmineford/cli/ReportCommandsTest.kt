package io.jasmineford.cli

import com.github.ajalt.clikt.testing.test
import com.github.michaelbull.result.get
import io.jasmineford.cli.operator.OperatorClient
import io.jasmineford.cli.quickstart.QuickstartClient
import io.jasmineford.cli.quickstart.QuickstartFleet
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ReportCommandsTest {
    /** Guards against reports that omit other VMs, and against scheduling steps that are not recorded. */
    @Test
    fun `explain and burn show a forwarded turn from any VM's operator port`() = runBlocking {
        QuickstartFleet().use { fleet ->
            fleet.start()
            publish(fleet)
            withTimeout(15.seconds) {
                while (!fleet.daemons.all { it.daemon.isReady() && it.daemon.generation() > 0 }) delay(20.milliseconds)
                // The preferred address changes while shards are still being handed over.
                while (!fleet.areShardsSettled()) delay(20.milliseconds)
            }
            val first = fleet.daemons.first().identity
            QuickstartClient("league-example-key").use { client ->
                val owner = client.addresses(first.callerAddress, "p1").addresses.first()
                val entry = fleet.daemons.first { it.identity.callerAddress != owner }
                client.turn(entry.identity.callerAddress, "p1", 1, "hello")
            }
            val explained = rootCommand().test("explain program p1 --operator ${first.operatorAddress}")
            assertEquals(0, explained.statusCode, explained.output)
            val steps = explained.output.lines().filter { it.isNotBlank() }.map { it.split(' ')[3] }
            for (step in listOf("arrived", "forwarded", "kept", "placed", "answered")) {
                assertTrue(step in steps, "expected a step $step, actual:\n${explained.output}")
            }
            val burn = rootCommand().test("report burn --operator ${first.operatorAddress}")
            assertTrue("lttwb/negotiator" in burn.output, "expected the account, actual:\n${burn.output}")
            assertEquals(EXIT_BAD_INPUT, rootCommand().test("explain program none --operator ${first.operatorAddress}").statusCode)
        }
    }

    private suspend fun QuickstartFleet.areShardsSettled(): Boolean = OperatorClient().use { client ->
        val served = daemons.map { client.status(it.identity.operatorAddress).get()?.shards }
        served.distinct().size == 1 && served.first() != 0
    }

    private suspend fun publish(fleet: QuickstartFleet) {
        val (engineA, engineB, service) = fleet.endpointPorts
        val note = File("../examples/league.yaml").readText()
            .replace(":9101", ":$engineA").replace(":9102", ":$engineB").replace(":9201", ":$service")
        val operator = fleet.daemons.first().identity.operatorAddress
        HttpClient(CIO).use { http -> http.post("http://$operator/release") { setBody(note) } }
    }
}
