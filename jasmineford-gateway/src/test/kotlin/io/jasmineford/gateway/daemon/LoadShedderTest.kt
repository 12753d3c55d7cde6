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
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.load.LoopLagMeter
import io.jasmineford.gateway.load.PressureGate
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.settings.PromisedBounds
import io.jasmineford.gateway.store.StoreContact
import io.netty.buffer.Unpooled
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpMethod
import java.lang.management.ManagementFactory
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against rejections that cost as much as calls, and against calls that are shed while the loop is on time. */
class LoadShedderTest {
    private val clock = VirtualClock()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private var logLines = 0
    private val log = EventLog { _, fields ->
        logLines++
        fields.forEach { it.second.toString() }
    }
    private val services =
        callServices(group, TestTime(clock, VirtualScheduler(clock)), EndpointDirectory(clock)).copy(log = log)
    private val meter = LoopLagMeter(clock, TICK)
    private val gate = PressureGate(clock, meter)
    private val openCalls = OpenCalls(services)
    private val handler = CallerRequestHandler(
        services = services,
        storeState = { StoreState(StoreContact(clock) { 0 }, CONFIG) },
        bounds = PromisedBounds(8.seconds, 5.seconds, false, RateLimitTolerance(5.seconds, 0.1, 20.0)),
        openCalls = openCalls,
        loadShedder = LoadShedder(headerNames, gate, services.activity, { CONFIG }, services.metrics),
    ) { true }

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }

    private fun request(vararg headers: Pair<String, String>): CallerRequest {
        val all = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Host", "h").add("Attempt", "a1")
        headers.forEach { (name, value) -> all.add(name, value) }
        return CallerRequest(HttpMethod.POST, "/chat/x", all, Unpooled.wrappedBuffer(BODY))
    }

    private fun outcomeOf(vararg headers: Pair<String, String>): String? {
        val caller = RecordingExchange()
        handler.handle(request(*headers), caller)
        return caller.outcomes.peek()
    }

    /** Ends the call too, so that the next one finds no longer queue. */
    private fun takeAndEnd(header: Pair<String, String>) {
        assertEquals(null, outcomeOf(header))
        openCalls.end()
    }

    private fun tick(lag: Duration) {
        clock.advance(TICK + lag)
        meter.onTimer()
        gate.onTick()
    }

    private fun overload() = repeat(10) {
        tick(400.milliseconds)
        repeat(20) { outcomeOf() }
    }

    @Test
    fun `calls are shed by class and with a time to come back while the loop lags`() {
        tick(0.milliseconds)
        assertEquals(null, outcomeOf("Program" to "begun"))
        overload()
        assertEquals("503", outcomeOf("Program" to "new"))
        assertEquals("503", outcomeOf("Previous" to "t1", "Deadline" to "500"))
        assertEquals(null, outcomeOf("Program" to "begun"))
        assertEquals(null, outcomeOf("Program" to "of another daemon", "Previous" to "t1"))
        repeat(100) { tick(0.milliseconds) }
        assertEquals(null, outcomeOf("Program" to "new"))
    }

    @Test
    fun `a rejection logs nothing, counts no program and allocates a small part of a call`() {
        repeat(WARM_UP) { takeAndEnd("Program" to "warm $it") }
        val request = allocatedBy { request("Program" to "taken $it").also { RecordingExchange() } }
        val call = allocatedBy { takeAndEnd("Program" to "taken $it") } - request
        overload()
        repeat(WARM_UP) { outcomeOf("Program" to "warm") }
        val linesBefore = logLines
        val rejection = allocatedBy { assertEquals("503", outcomeOf("Program" to "new")) } - request
        assertEquals(linesBefore, logLines)
        assertTrue(rejection < call * MAX_COST, "rejection $rejection bytes, call $call bytes")
    }

    /** Mean bytes that [action] allocates; a count that repeats, unlike a time. */
    private fun allocatedBy(action: (Int) -> Unit): Long {
        val threads = ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean
        val before = threads.currentThreadAllocatedBytes
        repeat(RUNS, action)
        return (threads.currentThreadAllocatedBytes - before) / RUNS
    }

    private companion object {
        const val RUNS = 200
        const val WARM_UP = 200

        /** Of a call that ends without an endpoint, so without its turn, sending and response. */
        const val MAX_COST = 0.35
        val BODY = ByteArray(2000)
        val TICK = 50.milliseconds
        val ROUTE = Route(
            name = "chat",
            host = "h",
            pathPrefix = "/chat/",
            kind = RouteKind.STREAM,
            timeout = 60.seconds,
            targetLatency = 1.seconds,
            priority = 0,
            services = listOf(WeightedService("models", 1)),
        )
        val LIMITS = CallLimits(8192, 65_536, 60.seconds, 60.seconds)
        val CONFIG = GatewayConfig(1, listOf(ROUTE), listOf(Service("models")), emptyList(), LIMITS)
    }
}
