package io.jasmineford.daemon.caller

import io.jasmineford.core.address.AddressAnswer
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.statement.bodyAsText
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/**
 * Guards against address answers with VMs that are out of service or dead, and against calls that fail because of an
 * old address.
 */
class AddressTest {
    @Test
    fun `a VM out of service is left out of address answers and redirects callers that still use it`() =
        withLoopbackFleet { fleet ->
            val out = fleet.identities[2]
            fleet.http.post("http://${fleet.identities[0].operatorAddress}/vms/${out.vm}/out")
            fleet.awaitConfiguration(3)
            awaitUntil("address answers without the VM") { (0..1).none { out.callerAddress in addresses(fleet, it) } }
            repeat(SAMPLES) { assertFalse(out.callerAddress in addresses(fleet, it % 2), "expected another VM than ${out.vm}") }
            val redirection = fleet.chat(2, KEY)
            val text = redirection.bodyAsText()
            assertEquals(503, redirection.status.value, text)
            assertEquals("refused-not-run", redirection.headers["Jasmineford-Outcome"])
            assertContains(text, "vm-leaving")
            assertContains(text, fleet.identities[0].callerAddress, message = "expected another address, actual $text")
            awaitUntil("the VM to hand over its shards") {
                "\"shards\":0" in fleet.http.get("http://${out.operatorAddress}/status").bodyAsText()
            }
            fleet.http.post("http://${fleet.identities[0].operatorAddress}/vms/${out.vm}/in")
            fleet.awaitGeneration(4)
            awaitUntil("the VM to serve again") { fleet.chat(2, KEY).status.value == 200 }
            awaitUntil("address answers with the VM again") { out.callerAddress in addresses(fleet, 0) }
        }

    @Test
    fun `a zone out of service and a dead VM are left out of address answers`() = withLoopbackFleet { fleet ->
        val zone = fleet.identities[1]
        fleet.http.post("http://${fleet.identities[0].operatorAddress}/zones/${zone.zone}/out")
        fleet.awaitConfiguration(3)
        awaitUntil("address answers without the zone") { zone.callerAddress !in addresses(fleet, 0) }
        assertFalse(zone.callerAddress in addresses(fleet, 0, zone.zone), "expected a VM of another zone")
        val dead = fleet.identities[2]
        fleet.kill(2)
        awaitUntil("answers without the dead VM") { addresses(fleet, 0) == listOf(fleet.identities[0].callerAddress) }
        repeat(SAMPLES) { assertFalse(dead.callerAddress in addresses(fleet, 0), "expected no dead VM") }
    }

    private suspend fun addresses(fleet: LoopbackFleet, vm: Int, zone: String? = null): List<String> {
        val query = zone?.let { "?zone=$it" }.orEmpty()
        val reply = fleet.http.get("http://${fleet.identities[vm].callerAddress}/v1/addresses$query") { header("X-Api-Key", KEY) }
        return Json.decodeFromString<AddressAnswer>(reply.bodyAsText()).addresses
    }

    private companion object {
        const val KEY = "first-secret-key"
        const val SAMPLES = 50
    }
}
