package io.jasmineford.gateway.daemon

import io.jasmineford.core.placement.PlacementOutcome
import io.jasmineford.core.placement.PlacementReport
import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.call.CallServices
import io.jasmineford.gateway.call.SchedulingAttributes
import io.jasmineford.gateway.call.TestTime
import io.jasmineford.gateway.call.WaitingCall
import io.jasmineford.gateway.call.callServices
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.config.WeightedService
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.PlacementExplainer
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.endpoint.RatePart
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.store.Scheduler
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import kotlinx.serialization.json.Json
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against explanations of requests that hide why these would wait or be rejected. */
class PlacementPageTest {
    private val clock = VirtualClock()
    private val directory = EndpointDirectory(clock)
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val services: CallServices = callServices(group, TestTime(clock, Scheduler { _, _ -> }), directory)
    private val service = Service("models")
    private val route = Route(
        name = "chat",
        host = "h",
        pathPrefix = "/chat/",
        kind = RouteKind.SAFE,
        timeout = 3.seconds,
        targetLatency = 1.seconds,
        priority = 0,
        services = listOf(WeightedService("models", weight = 1)),
    )
    private var config: GatewayConfig? = GatewayConfig(
        version = 1,
        routes = listOf(route),
        services = listOf(service),
        accounts = emptyList(),
        limits = CallLimits(1000, 1000, headerTimeout = 1.seconds, idleTimeout = 1.seconds),
    )
    private val chooser = EndpointChooser(directory, "a", clock) { RatePart(share = 1.0, rank = 0) }
    private val page = PlacementPage(services, { config }, PlacementExplainer(chooser)) { false }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun ask(path: String = "/chat/1", deadline: String = "1000"): PlacementReport {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().set("Deadline", deadline)
        val uri = "${PlacementPage.PATH}?host=h&path=$path"
        return Json.decodeFromString(page.explain(CallerRequest(HttpMethod.GET, uri, headers, Unpooled.EMPTY_BUFFER)))
    }

    @Test
    fun `a request without configuration, route or readable headers would be rejected`() {
        val reports = listOf(ask("/other"), ask(deadline = "soon"), run { config = null }.let { ask() })
        assertEquals(List(3) { PlacementOutcome.REJECTED }, reports.map { it.outcome })
        val reasons = listOf("no route has this host and path", "a header is malformed", "no configuration is known")
        assertEquals(reasons, reports.map { it.reason })
    }

    @Test
    fun `a request is placed, waits and is rejected as the service fills up`() {
        val reason = "no endpoint of the service is registered"
        assertEquals(PlacementOutcome.WAITS to reason, ask().let { it.outcome to it.reason })
        directory.replace(listOf(endpoint("e1", slots = 1)))
        assertEquals(PlacementOutcome.PLACED to "e1", ask().run { outcome to endpoint })
        // Four calls a second are completed.
        repeat(20) {
            clock.advance(250.milliseconds)
            services.dispatcher.completed(service, 250.milliseconds)
        }
        repeat(4) { submit() }
        assertEquals(PlacementOutcome.WAITS to 3, ask(deadline = "2500").run { outcome to waitingCalls })
        assertEquals(PlacementOutcome.REJECTED to 3, ask(deadline = "500").run { outcome to waitingCalls })
        assertEquals(3, services.dispatcher.waiting)
    }

    private fun submit() {
        val end = clock.now() + 3.seconds
        val attributes = SchedulingAttributes(priority = 0, latestStart = end, expiresAt = end, arrivedAt = clock.now())
        services.dispatcher.submit(WaitingCall(attributes, PlacementRequest(service, affinity = null), {}, {}))
    }
}
