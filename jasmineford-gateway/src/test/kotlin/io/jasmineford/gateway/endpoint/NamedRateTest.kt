package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.call.CallHeaderNames
import io.jasmineford.gateway.call.NamedRateReader
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.headerNames
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class NamedRateTest {
    private val clock = VirtualClock(1.seconds)
    private val names: CallHeaderNames = headerNames
    private val events = ArrayList<String>()
    private val reader = NamedRateReader(names) { name, _ -> events += name }
    private val state = EndpointState(endpoint("e1"), clock)

    private fun respond(rate: String?, sentAt: Duration = clock.now(), isSigned: Boolean = true) {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders()
        if (isSigned) headers[names.signature] = "s"
        rate?.let { headers[names.rateLimit] = it }
        clock.advance(1.seconds)
        reader.read(state, headers, sentAt)
    }

    @Test
    fun `a response without a rate ends the limit only if its request was sent after the last one that named it`() {
        val early = clock.now()
        respond("7.5")
        respond(rate = null, sentAt = early)
        assertEquals(7.5, state.namedRate.perSecond)
        respond(rate = null)
        assertNull(state.namedRate.perSecond)
    }

    @Test
    fun `bytes without a signature do not end the limit`() {
        respond("7.5")
        respond(rate = null, isSigned = false)
        assertEquals(7.5, state.namedRate.perSecond)
    }

    @Test
    fun `an unreadable rate is logged and leaves the rate in force`() {
        respond("7.5")
        listOf("many", "-1", "NaN", "Infinity", "", "x".repeat(5000)).forEach { respond(it) }
        assertEquals(7.5, state.namedRate.perSecond)
        assertEquals(listOf("endpoint-rate") + List(6) { "endpoint-rate-unreadable" }, events)
    }

    @Test
    fun `of two observations the later one holds at every daemon, whatever the order of the reports`() {
        val here = NamedRate("e1", clock)
        here.record(7.5)
        val named = here.report()
        clock.advance(1.seconds)
        here.recordNone(clock.now())
        val ended = here.report()
        listOf(listOf(named, ended), listOf(ended, named)).forEach { reports ->
            val there = NamedRate("e1", clock)
            reports.forEach { there.merge(it) }
            assertNull(there.perSecond)
        }
    }

    @Test
    fun `of two observations made at the same time the lower rate holds`() {
        val low = NamedRate("e1", clock).apply { record(2.0) }
        val high = NamedRate("e1", clock).apply { record(3.0) }
        assertTrue(high.merge(low.report()))
        assertFalse(low.merge(RateReport("e1", 3.0, version = 1)))
        assertEquals(low.perSecond, high.perSecond)
    }

    @Test
    fun `a report of another daemon that is no rate leaves the rate in force`() {
        val here = NamedRate("e1", clock).apply { record(7.5) }
        listOf(Double.NaN, Double.POSITIVE_INFINITY, -1.0).forEach { assertFalse(here.merge(RateReport("e1", it, 9))) }
        assertEquals(7.5, here.perSecond)
    }
}
