package io.jasmineford.gateway.http

import io.jasmineford.core.time.VirtualClock
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import java.net.InetSocketAddress
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotSame
import kotlin.test.assertSame
import kotlin.test.assertTrue

class ConnectionPoolTest {
    private val opened = LinkedHashMap<HttpClientConnection, EmbeddedChannel>()
    private val connector = Connector { _, onUnmatched, onDone ->
        val channel = EmbeddedChannel()
        val connection = HttpClientConnection(channel, onUnmatched).also { it.install() }
        opened[connection] = channel
        onDone(connection)
    }
    private val pool = ConnectionPool(connector, InetSocketAddress("127.0.0.1", 1), VirtualClock())

    private fun acquire(isEligible: (HttpClientConnection) -> Boolean = { true }): HttpClientConnection {
        var acquired: HttpClientConnection? = null
        pool.acquire(isEligible) { acquired = it }
        return checkNotNull(acquired)
    }

    @Test
    fun `a connection serves one call after the other, but not those that it has carried`() {
        val first = acquire()
        pool.release(first)
        assertSame(first, acquire())
        pool.release(first)
        assertNotSame(first, acquire(isEligible = { it !== first }))
        assertSame(first, acquire())
    }

    @Test
    fun `a connection that got bytes while it was idle is closed and not handed out`() {
        val first = acquire()
        pool.release(first)
        opened.getValue(first).writeInbound(Unpooled.copiedBuffer("HTTP", Charsets.UTF_8))
        assertNotSame(first, acquire())
        assertFalse(opened.getValue(first).isOpen)
    }

    /** Guards against connections that stay open to an address that another process may have taken. */
    @Test
    fun `connections in use when the pool is closed are closed on their return`() {
        val idle = acquire()
        val inUse = acquire()
        pool.release(idle)
        pool.close()
        assertFalse(opened.getValue(idle).isOpen)
        assertTrue(opened.getValue(inUse).isOpen)
        pool.release(inUse)
        assertFalse(opened.getValue(inUse).isOpen)
        assertEquals(2, opened.size)
    }
}
