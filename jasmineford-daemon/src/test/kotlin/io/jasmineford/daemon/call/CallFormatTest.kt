package io.jasmineford.daemon.call

import io.jasmineford.core.program.Message
import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON of the chat completions API and of problem bodies. */
class CallFormatTest {
    @Test
    fun `a chat request`() {
        val request = ChatRequest("chat", listOf(Message("user", "hello")), true, 17, "lttwb/shop/p")
        val json = """{"model":"chat","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":17,""" +
            """"user":"lttwb/shop/p"}"""
        assertEquals(json, chatJson.encodeToString(request))
        assertEquals(request, chatJson.decodeFromString<ChatRequest>(json))
    }

    @Test
    fun `a chat reply`() {
        val choice = ChatChoice(1, Message("assistant", "hi"), ChatDelta("part"), "stop")
        val reply = ChatReply("r1", "chat", listOf(choice), ChatUsage(5, 6, 4))
        val json = """{"id":"r1","model":"chat","choices":[{"index":1,""" +
            """"message":{"role":"assistant","content":"hi"},"delta":{"content":"part"},"finish_reason":"stop"}],""" +
            """"usage":{"prompt_tokens":5,"completion_tokens":6,"cached_tokens":4}}"""
        assertEquals(json, chatJson.encodeToString(reply))
        assertEquals(reply, chatJson.decodeFromString<ChatReply>(json))
    }

    @Test
    fun `a problem body`() {
        val problem = Problem("urn:x", "Title.", 503, "detail", "refused-not-run", "vm-leaving", listOf("c:1"))
        val json = """{"type":"urn:x","title":"Title.","status":503,"detail":"detail","outcome":"refused-not-run",""" +
            """"reason":"vm-leaving","addresses":["c:1"]}"""
        assertEquals(json, Json.encodeToString(problem))
        assertEquals(problem, Json.decodeFromString<Problem>(json))
    }
}
