package io.jasmineford.gateway.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

/** Guards against connections that take all descriptors, and against callers that are shut out by idle ones. */
class ConnectionLimitTest {
    private val limit = ConnectionLimit(limit = 2)
    private val evicted = ArrayList<String>()

    private fun admit(name: String) = limit.admit { evicted.add(name) }

    @Test
    fun `the oldest connection without a request gives its place to a new one, then the longest idle one`() {
        val first = assertNotNull(admit("first"))
        first.beginRequest()
        first.endRequests()
        assertNotNull(admit("second"))
        assertNotNull(admit("third")).beginRequest()
        assertEquals(listOf("second"), evicted)
        assertNotNull(admit("fourth"))
        assertEquals(listOf("second", "first"), evicted)
        assertEquals(2, limit.count)
    }

    @Test
    fun `connections whose requests are being answered keep their places`() {
        val busy = List(2) { assertNotNull(admit("busy")).apply { beginRequest() } }
        assertNull(admit("new"))
        busy.first().leave()
        // The end of an answer may follow that of its connection.
        busy.first().endRequests()
        assertNotNull(admit("new"))
        assertEquals(emptyList(), evicted)
        assertEquals(2, limit.count)
    }

    /** Guards against usual callers that are cut off because the operating system reports a small limit. */
    @Test
    fun `the configured number of descriptors counts whatever the process's own limit is`() {
        assertEquals(Int.MAX_VALUE, ProcessResources.descriptorLimit(Int.MAX_VALUE))
    }
}
