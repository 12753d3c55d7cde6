package io.jasmineford.daemon

import io.jasmineford.daemon.caller.LoopbackFleet
import io.jasmineford.daemon.caller.awaitUntil
import io.jasmineford.daemon.caller.withLoopbackFleet
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

/**
 * Guards against a repeated turn that runs again, and against engine memory that stays in use after its program has
 * ended.
 */
class ProgramTest {
    @Test
    fun `a repeated turn gets the same answer, and the end of the program frees its KV cache in the engine`() {
        withLoopbackFleet { fleet ->
            val first = fleet.turn(vm = 0, turn = "1")
            val again = fleet.turn(vm = 1, turn = "1")
            assertEquals(first.bodyAsText(), again.bodyAsText())
            assertEquals(first.headers[DIGEST], again.headers[DIGEST])
            assertContains(fleet.held(), "lttwb/shop/p")
            assertEquals("bad-request", fleet.turn(vm = 0, turn = "one").headers[REASON])
            assertEquals("wrong-turn", fleet.turn(vm = 0, turn = "5").headers[REASON])
            fleet.turn(vm = 2, turn = "2", isEnd = true)
            awaitUntil("the ended program's engine memory freed") { "lttwb/shop/p" !in fleet.held() }
            assertEquals("program-closed", fleet.turn(vm = 0, turn = "3").headers[REASON])
        }
    }

    private suspend fun LoopbackFleet.turn(vm: Int, turn: String, isEnd: Boolean = false): HttpResponse =
        call(vm, "/v1/chat/completions") {
            header("Authorization", "Bearer first-secret-key")
            header("Jasmineford-Program", "p")
            header("Jasmineford-Turn", turn)
            if (isEnd) header("Jasmineford-End", "true")
            setBody(LoopbackFleet.CHAT)
        }

    private suspend fun LoopbackFleet.held(): String = http.get("http://127.0.0.1:${enginePorts[0]}/kv").bodyAsText()

    private companion object {
        const val DIGEST = "Jasmineford-History-Digest"
        const val REASON = "Jasmineford-Reason"
    }
}
