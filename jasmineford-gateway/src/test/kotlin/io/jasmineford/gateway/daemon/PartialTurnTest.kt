package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.call.RecordingExchange
import io.jasmineford.gateway.call.TestTime
import io.jasmineford.gateway.call.callServices
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.config.WeightedService
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.settings.PromisedBounds
import io.jasmineford.gateway.store.StoreContact
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

/**
 * Routes whose turns are stored and whose streams may be resumed. Guards against a stored turn that holds only the
 * events after those that its caller had, on which later turns would be built.
 */
class PartialTurnTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val clock = VirtualClock()
    private val services =
        callServices(group, TestTime(clock, VirtualScheduler(clock)), EndpointDirectory(clock))
    private val contact = StoreContact(clock) { clock.now().inWholeMilliseconds }
    private val openCalls = OpenCalls(services)
    private val handler = CallerRequestHandler(services, { StoreState(contact, CONFIG) }, BOUNDS, openCalls) { true }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun outcomeOf(path: String, lastEventId: String?): String? {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Host", "h").add("Attempt", "a1")
        lastEventId?.let { headers.add("Last-Event-Id", it) }
        val caller = RecordingExchange()
        handler.handle(CallerRequest(HttpMethod.GET, path, headers, Unpooled.EMPTY_BUFFER), caller)
        return caller.outcomes.peek()
    }

    @Test
    fun `a turn that its caller resumes is refused as not run`() {
        assertEquals("503", outcomeOf("/turn/x", lastEventId = "3"))
        assertEquals(0, services.dispatcher.waiting)
    }

    @Test
    fun `turns from their start and streams that are not stored wait for an endpoint`() {
        assertEquals(null, outcomeOf("/turn/x", lastEventId = null))
        assertEquals(null, outcomeOf("/stream/x", lastEventId = "3"))
        assertEquals(2, services.dispatcher.waiting)
    }

    private companion object {
        val LIMITS = CallLimits(8192, 65_536, 60.seconds, 60.seconds)
        val BOUNDS = PromisedBounds(8.seconds, 5.seconds, false, RateLimitTolerance(5.seconds, 0.1, 20.0))
        val CONFIG = GatewayConfig(1, ROUTES, listOf(Service("models")), emptyList(), LIMITS)
        val ROUTES get() = listOf(route("turn", true), route("stream", false))

        fun route(name: String, isStateful: Boolean) = Route(
            name = name,
            host = "h",
            pathPrefix = "/$name/",
            kind = RouteKind.STREAM,
            timeout = 60.seconds,
            targetLatency = 1.seconds,
            priority = 0,
            services = listOf(WeightedService("models", 1)),
            isStateful = isStateful,
            isResumable = true,
        )
    }
}
