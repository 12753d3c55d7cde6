package io.jasmineford.core.address

import kotlinx.serialization.json.Json
import kotlin.test.Test
import kotlin.test.assertEquals

class AddressAnswerTest {
    /** Guards against a renamed property, which callers would no longer find. */
    @Test
    fun `the text of an answer is fixed`() {
        val text = """{"addresses":["10.1.0.1:80","10.1.0.2:80"],"validForSeconds":30}"""
        val answer = AddressAnswer(listOf("10.1.0.1:80", "10.1.0.2:80"), 30)
        assertEquals(text, Json.encodeToString(answer))
        assertEquals(answer, Json.decodeFromString<AddressAnswer>(text))
    }
}
