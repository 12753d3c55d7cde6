package io.jasmineford.daemon.call

import io.jasmineford.core.program.Message
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.standin.engine.EngineServer
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class EngineClientTest {
    @Test
    fun `a broken stream is resumed after its last event and never restarted`() = runBlocking {
        val offsets = ConcurrentLinkedQueue<String>()
        val breaks = ArrayDeque(listOf(2, 4))
        val engine = EngineServer(
            name = "e",
            onRequest = { headers, _ -> offsets += headers["Last-Event-ID"]?.first() ?: "start" },
            breakBefore = { event -> (event == breaks.firstOrNull()).also { if (it) breaks.removeFirst() } },
        )
        val clock = systemMonotonicClock()
        val http = HttpClient(CIO) { install(HttpTimeout) }
        engine.use {
            val chat = ChatRequest("m", listOf(Message("user", "one two three four")))
            val call = EngineCall("127.0.0.1:${engine.start()}", "r1", chat, deadline = clock.now() + 20.seconds)
            val events = EngineClient(http, clock).stream(call).toList()
            val text = events.filterIsInstance<EngineEvent.Text>().joinToString("") { it.content }
            assertEquals("e answers message 1: one two three four", text)
            assertEquals(EngineEvent.Done, events.last())
            assertEquals(listOf("start", "1", "3"), offsets.toList())
        }
        http.close()
    }

    @Test
    fun `an answer to another request, a duplicate event and a gap are not accepted`() {
        fun event(id: Int, request: String, text: String) =
            listOf("id: $id", """data: {"id":"$request","choices":[{"delta":{"content":"$text"}}]}""", "")

        val crossed = EngineAnswer("r1").apply { event(0, "r2", "x").forEach { accept(it) } }
        assertEquals("the answer belongs to another request", crossed.problem)
        val answer = EngineAnswer("r1")
        val lines = event(0, "r1", "a") + event(0, "r1", "a") + event(1, "r1", "b") + event(3, "r1", "d")
        val accepted = lines.flatMap { answer.accept(it) }
        assertEquals(listOf("a", "b"), accepted.map { (it as EngineEvent.Text).content })
        assertEquals("expected event 2, actual 3", answer.problem)
    }
}
