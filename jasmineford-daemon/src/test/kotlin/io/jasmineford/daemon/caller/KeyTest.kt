package io.jasmineford.daemon.caller

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.readLine
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Guards against a key that leaks, that still works after its withdrawal, or that works for another organisation. */
class KeyTest {
    @Test
    fun `a key is accepted in every place and reaches no endpoint, log, metric or error`() = withLoopbackFleet { fleet ->
        for ((query, fields) in PLACES) {
            val withKey: HttpRequestBuilder.() -> Unit = { fields.forEach { (name, value) -> header(name, value) } }
            val chat = fleet.call(0, "/v1/chat/completions$query") {
                withKey()
                setBody(LoopbackFleet.CHAT)
            }
            assertEquals(200, chat.status.value, "expected an answer for $query $fields, actual ${chat.bodyAsText()}")
            val stock = fleet.call(1, "/services/stock/a$query", withKey)
            assertEquals(200, stock.status.value, "expected an answer for $query $fields, actual ${stock.bodyAsText()}")
        }
        val effects = fleet.service.effects().size
        for ((path, body) in ECHOES) {
            val reply = fleet.call(2, path) {
                header("Authorization", "Bearer $KEY")
                setBody(body)
            }
            assertNotRun(400, reply)
        }
        val named = fleet.call(2, "/services/stock/a") {
            header("Authorization", "Bearer $KEY")
            header("Jasmineford-Program", "program-$KEY")
        }
        assertNotRun(400, named)
        assertNotRun(401, fleet.chat(0, "$KEY-unknown"))
        assertEquals(effects, fleet.service.effects().size, "expected no effect of a refused request")
        assertNoKey(fleet)
    }

    @Test
    fun `a withdrawn key ends its stream on the caller's VM and on the shard owner and cancels the engine call`() =
        withLoopbackFleet(engineTokenInterval = 20) { fleet ->
            val other = (0..2).first { fleet.identities[it].callerAddress != ownerAddress(fleet) }
            val lines = mutableListOf<String>()
            coroutineScope {
                val stream = async { readStream(fleet, other, lines) }
                awaitUntil("the first streamed word") { synchronized(lines) { lines.any { it.startsWith("data:") } } }
                fleet.publish("organisation: lttwb\nbuildsOn: 2\nwithdrawn: {keys: [main]}")
                stream.await()
            }
            val text = lines.joinToString("\n")
            assertContains(text, "event: problem", message = "expected a problem event, actual ${text.takeLast(400)}")
            assertContains(text, "\"reason\":\"key-withdrawn\"")
            assertContains(text, "event: outcome")
            assertFalse("[DONE]" in text, "expected a stream that ends early, actual a whole one")
            awaitUntil("the engine's call to be cancelled") {
                "\"running\":0" in fleet.http.get("http://127.0.0.1:${fleet.enginePorts[0]}/load").bodyAsText()
            }
            fleet.awaitGeneration(3)
            for (vm in 0..2) assertNotRun(401, fleet.chat(vm, KEY))
            assertEquals(200, fleet.chat(0, OTHER_KEY).status.value, "expected the other organisation's key to work")
            assertNoKey(fleet)
        }

    @Test
    fun `organisations that use the same names are isolated, and each open route has its own limit`() =
        withLoopbackFleet { fleet ->
            assertContains(fleet.chat(1, KEY).bodyAsText(), "engine-a answers")
            assertContains(fleet.chat(1, OTHER_KEY).bodyAsText(), "engine-b answers")
            suspend fun open(organisation: String) = fleet.call(2, "/services/public/a") {
                header("Jasmineford-Organisation", organisation)
                header("Jasmineford-Deadline-Ms", "1500")
            }
            assertEquals(200, open("lttwb").status.value, "expected the first open request to run")
            assertNotRun(429, open("lttwb"))
            assertEquals(200, open("shop").status.value, "expected the other organisation's open route to run")
            assertEquals(200, fleet.chat(2, KEY).status.value, "expected keyed requests to run")
            val keyless = fleet.call(2, "/services/stock/a") { header("Jasmineford-Organisation", "lttwb") }
            assertNotRun(401, keyless)
        }

    private suspend fun ownerAddress(fleet: LoopbackFleet): String {
        val reply = fleet.http.get("http://${fleet.identities[0].callerAddress}/v1/addresses") {
            header("X-Api-Key", KEY)
            header("Jasmineford-Program", PROGRAM)
        }
        return reply.bodyAsText().substringAfter("[\"").substringBefore('"')
    }

    private suspend fun readStream(fleet: LoopbackFleet, vm: Int, lines: MutableList<String>) {
        val words = (1..STREAM_WORDS).joinToString(" ")
        val request = fleet.http.preparePost("http://${fleet.identities[vm].callerAddress}/v1/chat/completions") {
            header("Authorization", "Bearer $KEY")
            header("Jasmineford-Program", PROGRAM)
            header("Jasmineford-Turn", "1")
            setBody("""{"model":"chat","stream":true,"messages":[{"role":"user","content":"$words"}]}""")
        }
        request.execute { reply ->
            val channel = reply.bodyAsChannel()
            while (true) {
                val line = channel.readLine() ?: break
                synchronized(lines) { lines += line }
            }
        }
    }

    private suspend fun assertNotRun(status: Int, reply: HttpResponse) {
        val text = reply.bodyAsText()
        assertEquals(status, reply.status.value, "expected status $status, actual ${reply.status} $text")
        assertEquals("refused-not-run", reply.headers["Jasmineford-Outcome"])
        assertFalse(KEY in text || KEY in reply.headers.toString(), "expected no key in the error, actual $text")
    }

    private suspend fun assertNoKey(fleet: LoopbackFleet) {
        val traces = fleet.traces()
        assertTrue(traces.getValue("endpoints").isNotEmpty(), "expected requests at the endpoints, actual none")
        for ((place, text) in traces) {
            for (key in listOf(KEY, OTHER_KEY)) assertFalse(key in text, "expected no key in the $place, actual one")
        }
    }

    private companion object {
        const val KEY = "first-secret-key"
        const val OTHER_KEY = "second-secret-key"
        const val PROGRAM = "fixture-17"
        const val STREAM_WORDS = 900
        val PLACES = listOf(
            "" to mapOf("Authorization" to "Bearer $KEY"),
            "" to mapOf("X-Api-Key" to KEY),
            "?key=$KEY&page=2" to emptyMap(),
            "?page=2&api_key=$KEY" to emptyMap(),
            "?access%5Ftoken=$KEY" to mapOf("X-Api-Key" to KEY),
            "" to mapOf("Cookie" to "theme=dark; access_token=$KEY"),
        )
        val ECHOES = listOf(
            "/services/once/a/$KEY" to "",
            "/services/stock/a?next=first%2Dsecret-key" to "",
            "/services/once/a" to "token=$KEY",
            "/services/once/a" to """{"token":"first\u002dsecret-key"}""",
            "/v1/chat/completions" to """{"model":"chat","messages":[{"role":"user","content":"my key is $KEY"}]}""",
            "/services/stock/a?key=$KEY-two" to "",
        )
    }
}
