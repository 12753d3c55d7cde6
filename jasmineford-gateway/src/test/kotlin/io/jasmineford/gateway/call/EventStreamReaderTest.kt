package io.jasmineford.gateway.call

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class EventStreamReaderTest {
    private val reader = EventStreamReader()
    private val events = ArrayList<StreamEvent>()

    private fun read(text: String) = reader.read(Unpooled.copiedBuffer(text, Charsets.UTF_8), events::add)

    @Test
    fun `an event that arrives byte by byte is emitted once and unchanged`() {
        val text = "id: 7\ndata: one two\n\n"
        text.forEach { read(it.toString()) }
        assertEquals(listOf(text), events.map { String(it.bytes) })
        assertEquals("7", events.single().id)
        assertEquals("one two", events.single().data)
    }

    @Test
    fun `text that is no event ends the stream's events`() {
        read("data: a\n\n: comment\n\nretry: 3\n\nHTTP/1.1 500 Oh\r\nServer: x\r\n\r\ndata: b\n\n")
        assertEquals(listOf("a"), events.map { it.data })
        assertTrue(reader.isInvalid)
    }

    @Test
    fun `an event that is completed by the head of a response ends the stream's events`() {
        read("data: a\n\nid: 2\ndata: bHTTP/1.1 500 Oh\r\nServer: x\r\nContent-Length: 3\r\n\r\n")
        assertEquals(listOf("a"), events.map { it.data })
        assertTrue(reader.isInvalid)
    }

    @Test
    fun `an event that comes again ends the stream's events`() {
        val resumed = EventStreamReader(after = 2)
        val text = "id: 3\ndata: a\n\nid: x\ndata: b\n\ndata: c\n\nid: 3\ndata: d\n\nid: 4\ndata: e\n\n"
        resumed.read(Unpooled.copiedBuffer(text, Charsets.UTF_8), events::add)
        assertEquals(listOf("a", "b", "c"), events.map { it.data })
        assertTrue(resumed.isInvalid)
    }

    @Test
    fun `a partial event is buffered`() {
        read("data: a\n\ndata: b")
        assertEquals(listOf("a"), events.map { it.data })
        assertTrue(reader.hasPartial)
    }

    @Test
    fun `carriage returns and several data lines are parsed`() {
        read("x-version: 3\r\nid: 1\r\ndata: a\r\ndata: b\r\n\r\n")
        assertEquals("a\nb", events.single().data)
        assertFalse(reader.hasPartial)
    }
}
