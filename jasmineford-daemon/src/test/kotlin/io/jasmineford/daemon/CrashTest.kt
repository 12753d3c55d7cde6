package io.jasmineford.daemon

import io.jasmineford.daemon.caller.LoopbackFleet
import io.jasmineford.daemon.caller.awaitUntil
import io.jasmineford.daemon.caller.withLoopbackFleet
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against a call that isn't idempotent and runs twice, or whose outcome is reported falsely, when a VM on its
 * path crashes between dispatch and answer.
 */
class CrashTest {
    @Test
    fun `a non-idempotent call stays outcome-unknown and never runs twice when its shard owner crashes`() {
        withLoopbackFleet { fleet ->
            val owner = fleet.ownerOf("call:charge-1")
            val other = (0..2).first { it != owner }
            coroutineScope {
                val first = async { fleet.charge(other, "charge-1") }
                awaitUntil("the charge at the service") { fleet.service.effects().size == 1 }
                fleet.kill(owner)
                assertEquals("outcome-unknown", first.await().headers["Jasmineford-Outcome"])
            }
            val repeat = fleet.charge(other, "charge-1")
            assertEquals("outcome-unknown", repeat.headers["Jasmineford-Outcome"], repeat.bodyAsText())
            assertEquals("intent-unresolved", repeat.headers["Jasmineford-Reason"])
            assertEquals(1, fleet.service.effects().size, "expected one charge, actual ${fleet.service.effects()}")
        }
    }

    @Test
    fun `a non-idempotent call completes and its answer is kept when the VM that forwarded it crashes`() {
        withLoopbackFleet { fleet ->
            val owner = fleet.ownerOf("call:charge-2")
            val (forwarder, other) = (0..2).filter { it != owner }
            coroutineScope {
                val first = async { runCatching { fleet.charge(forwarder, "charge-2") } }
                awaitUntil("the charge at the service") { fleet.service.effects().size == 1 }
                fleet.kill(forwarder)
                first.await()
            }
            var repeat = fleet.charge(other, "charge-2")
            awaitUntil("the end of the first attempt") {
                repeat = fleet.charge(other, "charge-2")
                repeat.headers["Jasmineford-Reason"] != "program-busy"
            }
            assertEquals("result", repeat.headers["Jasmineford-Outcome"], repeat.bodyAsText())
            assertEquals("""{"path":"hanging","receipt":1}""", repeat.bodyAsText())
            assertEquals(1, fleet.service.effects().size, "expected one charge, actual ${fleet.service.effects()}")
        }
    }

    private suspend fun LoopbackFleet.ownerOf(program: String): Int {
        val answer = http.get("http://${identities[0].callerAddress}/v1/addresses") {
            header("Authorization", "Bearer first-secret-key")
            header("Jasmineford-Program", program)
        }.bodyAsText()
        val best = answer.substringAfter("[\"").substringBefore('"')
        val owner = identities.indexOfFirst { it.callerAddress == best }
        check(owner >= 0) { "expected a VM of the fleet as the first address, actual $answer" }
        return owner
    }

    private suspend fun LoopbackFleet.charge(vm: Int, key: String): HttpResponse =
        call(vm, "/services/once/${LoopbackFleet.HANGING_PATH}") {
            header("Authorization", "Bearer first-secret-key")
            header("Idempotency-Key", key)
            setBody("""{"amount":5}""")
        }
}
