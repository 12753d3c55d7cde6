package io.jasmineford.daemon.call

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlin.test.Test
import kotlin.test.assertEquals

class ChatMessagesTest {
    @Test
    fun `the error of a request without required fields names them`() {
        assertEquals("expected a chat request with model, messages, actual one without", errorOf("{}"))
        assertEquals("expected a chat request with messages, actual one without", errorOf("""{"model":"chat"}"""))
    }

    @Test
    fun `the error of an unreadable request does not quote it`() {
        assertEquals("unreadable chat request", errorOf("secret"))
        assertEquals("unreadable chat request", errorOf("""{"model":7,"messages":"secret"}"""))
    }

    @Test
    fun `a valid request is parsed`() {
        val request = readChatRequest("""{"model":"chat","messages":[]}""".encodeToByteArray()).getOrElse { error(it) }
        assertEquals("chat", request.model)
    }

    private fun errorOf(body: String) = readChatRequest(body.encodeToByteArray()).getError()
}
