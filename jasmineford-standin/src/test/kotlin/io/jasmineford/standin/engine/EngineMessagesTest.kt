package io.jasmineford.standin.engine

import kotlin.test.Test
import kotlin.test.assertEquals

/** Pins the JSON of the chat completions API, which daemons and callers parse. */
class EngineMessagesTest {
    @Test
    fun `a request is encoded and decoded with every field`() {
        val request = EngineRequest("m1", listOf(EngineMessage("user", "hello")), true, 12, "org/account/p1")
        val text = """{"model":"m1","messages":[{"role":"user","content":"hello"}],"stream":true,"max_tokens":12,""" +
            """"user":"org/account/p1"}"""
        assertEquals(text, json.encodeToString(request))
        assertEquals(request, json.decodeFromString<EngineRequest>(text))
    }

    @Test
    fun `a reply is encoded and decoded with every field`() {
        val choice = EngineChoice(3, EngineMessage("assistant", "whole"), EngineDelta("part"))
        val reply = EngineReply("r1", "m1", listOf(choice), EngineUsage(5, 7, 4))
        val text = """{"id":"r1","model":"m1","choices":[{"index":3,""" +
            """"message":{"role":"assistant","content":"whole"},"delta":{"content":"part"}}],""" +
            """"usage":{"prompt_tokens":5,"completion_tokens":7,"cached_tokens":4}}"""
        assertEquals(text, json.encodeToString(reply))
        assertEquals(reply, json.decodeFromString<EngineReply>(text))
    }

    @Test
    fun `absent fields are left out of a reply and take their defaults in a request`() {
        val reply = EngineReply(null, null, listOf(EngineChoice()), null)
        assertEquals("""{"choices":[{"index":0}]}""", json.encodeToString(reply))
        val request = json.decodeFromString<EngineRequest>("""{"model":"m1","messages":[],"temperature":0.5}""")
        assertEquals(EngineRequest("m1", emptyList(), false, null, null), request)
    }
}
