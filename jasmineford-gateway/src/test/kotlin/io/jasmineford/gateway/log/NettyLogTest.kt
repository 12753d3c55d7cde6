package io.jasmineford.gateway.log

import kotlin.test.Test
import kotlin.test.assertEquals

class NettyLogTest {
    private val lines = ArrayList<String>()
    private val log = EventLog { name, fields ->
        lines += "$name ${fields.joinToString(" ") { "${it.first}=${it.second}" }}"
    }
    private val logger = NettyLog("io.netty.Part", log)

    @Test
    fun `warnings and errors of Netty are not lost`() {
        logger.warn("{} failed {} times: {}", "read", 2, IllegalStateException("closed"))
        logger.error("no event loop", IllegalArgumentException("stopped"))
        val source = "logger=io.netty.Part"
        assertEquals(
            listOf(
                "netty level=warning $source message={} failed {} times: {} " +
                    "arguments=[read, 2, java.lang.IllegalStateException: closed]",
                "netty level=error $source message=no event loop " +
                    "arguments=[java.lang.IllegalArgumentException: stopped]",
            ),
            lines,
        )
    }

    @Test
    fun `messages below information are dropped`() {
        logger.debug("state {}", 1)
        logger.trace("state")
        assertEquals(emptyList(), lines)
    }
}
