package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.RatePart
import io.jasmineford.gateway.endpoint.RouteLatencyBaseline
import io.jasmineford.gateway.headerNames
import io.jasmineford.gateway.http.CallerExchange
import io.jasmineford.gateway.http.CallerRequest
import io.jasmineford.gateway.http.Connector
import io.jasmineford.gateway.http.MemoryBudget
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.noOpLog
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.StreamOrigins
import io.jasmineford.gateway.turn.TokenReserver
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Several calls to endpoints that mix up their responses; all that is random comes from [seed]. */
internal class ResponseSchedule(seed: Long) {
    private val random = Random(seed)
    private val clock = VirtualClock(1.seconds)
    private val scheduler = VirtualScheduler(clock)
    private val calls = List(MIN_CALLS + random.nextInt(MAX_CALLS - MIN_CALLS)) { Caller("a$it") }
    private val kinds = calls.associate { it.id to ROUTES.random(random) }
    private val record = EndpointRecord(random) { kinds.getValue(it).kind == RouteKind.STREAM }
    private val connections = HashMap<InetSocketAddress, ArrayList<FaultyEndpoint>>()
    private val maxConnections = 1 + random.nextInt(MAX_CONNECTIONS)
    private val directory = EndpointDirectory(clock)
    private val connector = Connector { address, onUnmatched, onDone ->
        val all = connections.getOrPut(address) { ArrayList() }
        if (all.count { it.isOpen } >= maxConnections) {
            scheduler.after(random.nextInt(CONNECT_MILLIS).milliseconds) { onDone(null) }
        } else {
            val opened = FaultyEndpoint(record, onUnmatched).also(all::add)
            scheduler.after(random.nextInt(CONNECT_MILLIS).milliseconds) { onDone(opened.connection) }
        }
    }
    private val services = services()

    /** Plays the schedule; returns the rules that the daemon broke. */
    fun play(): List<String> {
        directory.replace(
            List(1 + random.nextInt(MAX_ENDPOINTS)) {
                val address = InetSocketAddress("127.0.0.1", 1 + it)
                endpoint("e$it", slots = 1 + random.nextInt(MAX_SLOTS)).copy(address = address)
            },
        )
        calls.forEach { caller ->
            scheduler.after(random.nextInt(ARRIVAL_MILLIS).milliseconds) {
                ProxyCall(callOf(caller.id), caller, services).start()
                if (record.isLikely(LEAVING_PERCENT)) {
                    scheduler.after(random.nextInt(STEPS).milliseconds) { if (caller.isOpen) caller.leave() }
                }
            }
        }
        repeat(STEPS) {
            connections.values.forEach { all -> all.toList().forEach { it.advance() } }
            scheduler.advance(STEP)
        }
        connections.values.forEach { all -> all.toList().forEach { it.advance() } }
        return record.violations + calls.flatMap(::check) + connections.values.flatten().filter { it.isKeptThoughDirty }
            .map { "a connection with bytes that belong to no request was kept" }
    }

    private fun check(caller: Caller): List<String> {
        val id = caller.id
        val route = kinds.getValue(id)
        val responses = record.responses[id].orEmpty()
        val runs = responses.count { it.isRun }
        val status = caller.status
        val own = responses.lastOrNull()
        val isEndpoints = caller.body.isNotEmpty() || caller.signature != null
        return listOfNotNull(
            "$id ended ${caller.ends} times".takeIf { caller.ends != 1 },
            "$id ran $runs times".takeIf { runs > (if (route.isRepeatable) route.maxAttempts else 1) },
            "$id ran and got $status".takeIf { status in PROMISES && runs > 0 && !route.isRepeatable },
            "$id got the promise $status of a response".takeIf { status in PROMISES && isEndpoints },
            "$id got $status ${caller.body} for ${own?.status} ${own?.body}".takeIf {
                isEndpoints && !caller.isStarted && !caller.matches(own)
            },
            "$id got ${caller.parts}".takeIf { caller.isStarted && !caller.matchesEvents(own) },
        )
    }

    private fun Caller.matches(own: SentResponse?) =
        own != null && own.isWhole && own.status == status && own.body == body && own.signature == signature

    private fun Caller.matchesEvents(own: SentResponse?): Boolean {
        val all = (1..EVENTS).joinToString("") { "id: $it\ndata: $id/$it\n\n" }
        val isPrefix = all.startsWith(parts) && (parts.isEmpty() || parts.endsWith("\n\n"))
        return isPrefix && (!isComplete || (parts == all && own?.isWhole == true))
    }

    private fun callOf(id: String): AdmittedCall {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", id)
        val request = CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
        val attributes = checkNotNull(headerNames.read(request))
        return AdmittedCall(request, attributes, kinds.getValue(id), null, Service("models"), id, clock.now(), 0)
    }

    private fun services(): CallServices {
        val quorum = quorum()
        val chooser = EndpointChooser(directory, "a", clock) { RatePart(share = 1.0, rank = 0) }
        return CallServices(
            clock = clock,
            wallMillis = { 0 },
            scheduler = scheduler,
            names = headerNames,
            dispatcher = Dispatcher(chooser, clock),
            turns = TurnCoordinator(quorum, TokenReserver(quorum, scheduler, noOpLog)),
            poisonCalls = PoisonCallDetector(clock),
            sender = EndpointSender(connector, clock, headerNames) { true },
            log = noOpLog,
            activity = ProgramActivity(clock),
            rateLimiter = AccountRateLimiter(clock, RateLimitTolerance(1.seconds, 0.1, 1.0), { 0 }, { 1 }),
            metrics = CallMetrics(),
            latencyBaseline = RouteLatencyBaseline(),
            streamVersions = StreamVersions(StreamOrigins(quorum), directory::versionMix),
            memory = MemoryBudget(Long.MAX_VALUE),
        )
    }

    /** Three history daemons that store everything after a moment. */
    private fun quorum(): HistoryQuorum {
        val members = List(3) { Member("s$it", 1, "a", "r", isEntry = false, ip = "", peerPort = 1) }
        return HistoryQuorum({ GroupView(1, majority = 2, members) }, { _, _, request, onReply ->
            val reply = if (request is HistoryRequest.Finish) HistoryReply.Finished else HistoryReply.Incomplete
            scheduler.after(random.nextInt(STORE_MILLIS).milliseconds) { onReply(reply) }
        }) { 0 }
    }

    /** A caller and what it got. */
    private class Caller(val id: String) : CallerExchange {
        private val received = StringBuilder()
        var ends = 0
            private set
        var status: Int? = null
            private set
        var body = ""
            private set
        var signature: String? = null
            private set
        var isStarted = false
            private set
        var isComplete = false
            private set
        val parts: String get() = received.toString()
        override val isOpen: Boolean get() = ends == 0
        override var onDisconnect: () -> Unit = {}

        fun leave() {
            ends++
            onDisconnect()
        }

        override fun answer(status: Int, headers: HttpHeaders, body: ByteBuf) {
            // A second response inside a started one is no end.
            ends += if (isStarted) 2 else 1
            this.status = status
            this.body = body.toString(Charsets.UTF_8)
            signature = headers["Signature"]
        }

        override fun startAnswer(status: Int, headers: HttpHeaders) {
            isStarted = true
        }

        override fun sendPart(data: ByteBuf) {
            received.append(data.toString(Charsets.UTF_8))
        }

        override fun endAnswer() {
            ends++
            isComplete = true
        }

        override fun abort() {
            ends++
        }
    }

    private companion object {
        const val MIN_CALLS = 2
        const val MAX_CALLS = 7
        const val MAX_CONNECTIONS = 3
        const val MAX_ENDPOINTS = 2
        const val MAX_SLOTS = 4
        const val EVENTS = 4
        const val STEPS = 220
        const val ARRIVAL_MILLIS = 60
        const val CONNECT_MILLIS = 3
        const val STORE_MILLIS = 3
        const val LEAVING_PERCENT = 5
        val STEP = 1.milliseconds
        val PROMISES = setOf(408, 421, 429, 503)

        fun route(name: String, kind: RouteKind) =
            Route(name, "h", "/p/", kind, 120.milliseconds, 1.seconds, 0, emptyList()).copy(maxAttempts = 3)

        val ROUTES = listOf(
            route("safe", RouteKind.SAFE),
            route("unsafe", RouteKind.UNSAFE),
            route("stream", RouteKind.STREAM),
            route("resumable", RouteKind.STREAM).copy(isResumable = true),
        )
    }
}
