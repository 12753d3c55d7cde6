package io.jasmineford.gateway.call

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.cost.WorkPlacement
import io.jasmineford.gateway.cost.WorkPlacementSettings
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.RatePart
import io.jasmineford.gateway.endpoint.RouteLatencyBaseline
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerExchange
import io.jasmineford.gateway.http.MemoryBudget
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.store.Scheduler
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.StreamOrigins
import io.jasmineford.gateway.turn.TokenReserver
import io.netty.buffer.ByteBuf
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpHeaders
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** Clock of a test and the actions that it runs. */
internal class TestTime(val clock: MonotonicClock, val scheduler: Scheduler)

/** Services of a daemon that runs on [loop] and sends calls to the endpoints of [directory]. */
internal fun callServices(
    group: EventLoopGroup,
    loop: EventLoop,
    directory: EndpointDirectory,
    quorum: HistoryQuorum = HistoryQuorum({ null }, { _, _, _, onReply -> onReply(null) }, { 0 }),
    zone: String = "a",
): CallServices {
    val scheduler = Scheduler { delay, action ->
        loop.schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }
    return callServices(group, TestTime(systemMonotonicClock(), scheduler), directory, quorum, zone)
}

/** Services of a daemon that sends calls to the endpoints of [directory]. */
internal fun callServices(
    group: EventLoopGroup,
    time: TestTime,
    directory: EndpointDirectory,
    quorum: HistoryQuorum = HistoryQuorum({ null }, { _, _, _, onReply -> onReply(null) }, { 0 }),
    zone: String = "a",
): CallServices {
    val clock = time.clock
    val scheduler = time.scheduler
    val chooser = EndpointChooser(directory, zone, clock) { RatePart(share = 1.0, rank = 0) }
    return CallServices(
        clock = clock,
        wallMillis = { 0 },
        scheduler = scheduler,
        names = headerNames,
        dispatcher = Dispatcher(chooser, clock),
        turns = TurnCoordinator(quorum, TokenReserver(quorum, scheduler, noOpLog)),
        poisonCalls = PoisonCallDetector(clock),
        sender = EndpointSender(group, clock, headerNames) { true },
        log = noOpLog,
        activity = ProgramActivity(clock),
        rateLimiter = AccountRateLimiter(clock, RateLimitTolerance(1.seconds, 0.1, 1.0), { 0 }, { 1 }),
        metrics = CallMetrics(),
        latencyBaseline = RouteLatencyBaseline(),
        streamVersions = StreamVersions(StreamOrigins(quorum), directory::versionMix),
        memory = MemoryBudget(Long.MAX_VALUE),
        observer = CallObserver(clock, WorkPlacement(clock, directory, WorkPlacementSettings())),
    )
}

/** Caller that records the parts of a stream and how the call ended. */
internal class RecordingExchange : CallerExchange {
    val parts = LinkedBlockingQueue<String>()
    val outcomes = LinkedBlockingQueue<String>()
    private var isStarted = false
    override val isOpen = true
    override var onDisconnect: () -> Unit = {}

    override fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
        outcomes.add(if (isStarted) "$status inside a started response" else "$status")
    }

    override fun startAnswer(status: Int, headers: HttpHeaders) {
        isStarted = true
    }

    override fun sendPart(data: ByteBuf) {
        parts.add(data.toString(Charsets.UTF_8))
    }

    override fun endAnswer() {
        outcomes.add("end")
    }

    override fun abort() {
        outcomes.add("cut off")
    }
}
