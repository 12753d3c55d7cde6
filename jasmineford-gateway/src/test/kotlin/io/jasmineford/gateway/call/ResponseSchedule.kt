package io.jasmineford.gateway.call

import io.jasmineford.core.time.VirtualClock
import io.jasmineford.gateway.VirtualScheduler
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.cost.WorkPlacement
import io.jasmineford.gateway.cost.WorkPlacementSettings
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
    private val pipelined = calls.take(random.nextInt(MAX_PIPELINED + 1))
    private val bodies = pipelined.associate { it.id to "input of ${it.id} ".padEnd(random.nextInt(MAX_BODY), '-') }
    private val callers = PipelinedCallers(random) { request, exchange ->
        val caller = calls.single { it.id == request.headers["Attempt"] }
        caller.connect(exchange)
        ProxyCall(callOf(caller.id, request), caller, services).start()
    }
    private val record =
        EndpointRecord(random, { bodies[it].orEmpty() }, { kinds.getValue(it).kind == RouteKind.STREAM })
    private val connections = HashMap<InetSocketAddress, ArrayList<FaultyEndpoint>>()
    private val maxConnections = 1 + random.nextInt(MAX_CONNECTIONS)
    private val directory = EndpointDirectory(clock)
    private val turns = HashMap<String, ArrayList<String>>()
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
                if (caller in pipelined) {
                    callers.send(caller.id, bodies.getValue(caller.id))
                    return@after
                }
                caller.connect(null)
                ProxyCall(callOf(caller.id, getRequest(caller.id)), caller, services).start()
                if (record.isLikely(LEAVING_PERCENT)) {
                    scheduler.after(random.nextInt(STEPS).milliseconds) { if (caller.isOpen) caller.leave() }
                }
            }
        }
        repeat(STEPS) { step() }
        // A pipelined call begins when those before it have ended.
        repeat(STEPS) { if (pipelined.any { it.isConnected && it.ends == 0 }) step() }
        connections.values.forEach { all -> all.toList().forEach { it.advance() } }
        val kept = connections.values.flatten().filter { it.isKeptThoughDirty }
        return record.violations + calls.flatMap(::check) + checkPipelined() + kept
            .map { "a connection with bytes that belong to no request was kept" }
    }

    private fun step() {
        connections.values.forEach { all -> all.toList().forEach { it.advance() } }
        callers.advance()
        scheduler.advance(STEP)
    }

    /** The responses of a pipelined connection have to be those to its calls, in their order. */
    private fun checkPipelined(): List<String> {
        callers.advance()
        val order = callers.sent.mapNotNull { id -> calls.single { it.id == id }.takeIf { it.isConnected } }
        val expected = order.map { it.response() }
        val received = callers.received()
        return listOf("got $received, not $expected").filter { received != expected }
    }

    private fun check(caller: Caller): List<String> {
        val id = caller.id
        val route = kinds.getValue(id)
        val responses = record.responses[id].orEmpty()
        val runs = responses.count { it.isRun }
        val status = caller.status
        val own = responses.lastOrNull()
        // A pipelined call does not begin if its connection was closed before.
        val isDropped = caller in pipelined && !caller.isConnected && !callers.isOpen
        val isEndpoints = caller.body.isNotEmpty() || (caller.signature != null && !caller.isStarted)
        return listOfNotNull(
            "$id ended ${caller.ends} times".takeIf { caller.ends != 1 && !isDropped },
            "$id ran $runs times".takeIf { runs > (if (route.isRepeatable) route.maxAttempts else 1) },
            "$id ran and got $status".takeIf { status in PROMISES && runs > 0 && !route.isRepeatable },
            "$id got the promise $status of a response".takeIf { status in PROMISES && isEndpoints },
            "$id got $status ${caller.body} for ${own?.status} ${own?.body}".takeIf {
                isEndpoints && !caller.isStarted && !caller.matches(own)
            },
            "$id got ${caller.parts} complete=${caller.isComplete}".takeIf {
                caller.isStarted && !caller.matchesEvents(responses)
            },
            checkTurn(caller),
        )
    }

    private fun Caller.matches(own: SentResponse?) =
        own != null && own.isWhole && own.status == status && own.body == body && own.signature == signature

    /**
     * Whether a caller got consecutive events, each run's from where its sending asked for them, and the end only if
     * the endpoint of the last run ended it.
     */
    private fun Caller.matchesEvents(sent: List<SentResponse>): Boolean {
        val received = events()
        val runs = received.map { RUN.find(it)?.groupValues?.last()?.toInt() ?: -1 }
        val isInOrder = received.indices.all { index ->
            val run = sent.getOrNull(runs[index])
            val begins = runs.indexOf(runs[index]) == index
            val isNext = index == 0 || runs[index - 1] <= runs[index]
            val isSent = run != null && received[index] in run.body && received[index].startsWith("id: ${index + 1}\n")
            isSent && isNext && (!begins || run?.lastEvent == index)
        }
        val isStart = parts.endsWith(EVENT_END) && status == OK && signature == sent.getOrNull(runs.first())?.signature
        return isStart && isInOrder && (!isComplete || (received.size == EVENTS && sent.isEndedBy(runs.last())))
    }

    private fun List<SentResponse>.isEndedBy(run: Int): Boolean {
        val own = last()
        return own.isWhole && own.isAsked && own.status == OK && (run == lastIndex || own.body.isEmpty())
    }

    private fun Caller.events() = parts.split(EVENT_END).dropLast(1).map { it + EVENT_END }

    /** What is stored of a turn has to be the data of all events of a stream that ended whole. */
    private fun checkTurn(caller: Caller): String? {
        val stored = turns[caller.id].orEmpty().distinct()
        val received = caller.events()
        val data = received.joinToString("") { it.substringAfter("data: ").removeSuffix("\n") }
        val isWhole = received.size == EVENTS && record.responses[caller.id].orEmpty().last().isWhole
        return when {
            stored.isEmpty() && caller.isComplete && kinds.getValue(caller.id).isStateful ->
                "${caller.id} is not stored"
            stored.isNotEmpty() && (stored.single() != data || !isWhole) ->
                "${caller.id} is stored as $stored, not $data"
            else -> null
        }
    }

    private fun getRequest(id: String): CallerRequest {
        val headers = DefaultHttpHeadersFactory.headersFactory().newHeaders().add("Attempt", id)
        return CallerRequest(HttpMethod.GET, "/p/", headers, Unpooled.EMPTY_BUFFER)
    }

    private fun callOf(id: String, request: CallerRequest): AdmittedCall {
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
            observer = CallObserver(clock, WorkPlacement(clock, directory, WorkPlacementSettings())),
        )
    }

    /** Three history daemons that store everything after a moment. */
    private fun quorum(): HistoryQuorum {
        val members = List(3) { Member("s$it", 1, "a", "r", isEntry = false, ip = "", peerPort = 1) }
        return HistoryQuorum({ GroupView(1, majority = 2, members) }, { _, _, request, onReply ->
            (request as? HistoryRequest.Finish)?.turn?.let {
                turns.getOrPut(it.id) { ArrayList() } += it.output.toString(Charsets.UTF_8)
            }
            val reply = if (request is HistoryRequest.Finish) HistoryReply.Finished else HistoryReply.Incomplete
            scheduler.after(random.nextInt(STORE_MILLIS).milliseconds) { onReply(reply) }
        }) { 0 }
    }

    /** A caller and what it got. */
    private class Caller(val id: String) : CallerExchange {
        private val received = StringBuilder()
        private var exchange: CallerExchange? = null
        var isConnected = false
            private set
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

        /** Begins the call; its response goes to [exchange] as well if it has one. */
        fun connect(exchange: CallerExchange?) {
            isConnected = true
            this.exchange = exchange
            exchange?.onDisconnect = ::leave
        }

        /** The response as the caller sees it. */
        fun response() = "$id $status $body$parts" +
            if (isComplete || !isStarted) PipelinedCallers.COMPLETE else ""

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
            exchange?.answer(status, headers, body) ?: body.release()
        }

        override fun startAnswer(status: Int, headers: HttpHeaders) {
            isStarted = true
            this.status = status
            signature = headers["Signature"]
            exchange?.startAnswer(status, headers)
        }

        override fun sendPart(data: ByteBuf) {
            received.append(data.toString(Charsets.UTF_8))
            exchange?.sendPart(data) ?: data.release()
        }

        override fun endAnswer() {
            ends++
            isComplete = true
            exchange?.endAnswer()
        }

        override fun abort() {
            ends++
            exchange?.abort()
        }
    }

    private companion object {
        const val MIN_CALLS = 2
        const val MAX_CALLS = 7
        const val MAX_CONNECTIONS = 3
        const val MAX_PIPELINED = 3
        const val MAX_BODY = 3000
        const val MAX_ENDPOINTS = 2
        const val MAX_SLOTS = 4
        const val EVENTS = 4
        const val OK = 200
        const val EVENT_END = "\n\n"
        const val STEPS = 220
        const val ARRIVAL_MILLIS = 60
        const val CONNECT_MILLIS = 3
        const val STORE_MILLIS = 3
        const val LEAVING_PERCENT = 5
        val STEP = 1.milliseconds
        val RUN = Regex(" of run (\\d+) ")
        val PROMISES = setOf(408, 421, 429, 503)

        fun route(name: String, kind: RouteKind) =
            Route(name, "h", "/p/", kind, 120.milliseconds, 1.seconds, 0, emptyList()).copy(maxAttempts = 3)

        val ROUTES = listOf(
            route("safe", RouteKind.SAFE),
            route("unsafe", RouteKind.UNSAFE),
            route("stream", RouteKind.STREAM),
            route("resumable", RouteKind.STREAM).copy(isResumable = true),
            route("turn", RouteKind.STREAM).copy(isStateful = true),
            route("resumable-turn", RouteKind.STREAM).copy(isResumable = true, isStateful = true),
        )
    }
}
