package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.account
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.limit.AdmissionClass
import io.jasmineford.gateway.limit.RateLimitDecision
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Guards against callers that leave before their calls are sent and use up what others of their account need. */
class EarlyLeaverTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = VirtualClock()
    private val directory = EndpointDirectory(clock)
    private val services = callServices(group, TestTime(clock, VirtualScheduler(clock)), directory)
    private val account = account(rate = 0.1, burst = 1.0)

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun admit() = services.rateLimiter.admit(account, AdmissionClass.UNDER_WAY)

    @Test
    fun `a caller that leaves while its call waits takes the call along and returns its token`() {
        directory.replace(listOf(endpoint("e1")))
        directory.all.forEach { it.inFlight = it.endpoint.slots }
        assertIs<RateLimitDecision.Admitted>(admit())
        assertIs<RateLimitDecision.Exceeded>(admit())
        val caller = RecordingExchange()
        ProxyCall(call(), caller, services).start()
        assertEquals(1, services.dispatcher.waiting)
        caller.onDisconnect()
        assertEquals(0, services.dispatcher.waiting)
        assertIs<RateLimitDecision.Admitted>(admit())
    }

    private fun call(): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", "a1")
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val route = Route("r", "h", "/p/", RouteKind.SAFE, 5.seconds, 1.seconds, 0, emptyList())
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, route, account, Service("models"), "f", clock.now(), 0)
    }
}
