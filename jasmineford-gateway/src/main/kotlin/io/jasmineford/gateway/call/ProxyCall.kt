package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.http.CallerExchange
import io.jasmineford.gateway.rollout.AttemptResult
import io.jasmineford.gateway.rollout.AttemptUsage
import io.netty.buffer.ByteBuf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Life cycle of one admitted call: starts its turn, waits for an endpoint, sends the call, retries it and responds to
 * the caller.
 *
 * Whether a call may be retried after it may have run depends on the kind of its route only.
 *
 * @param onDone called once, before the response is completed or after the caller has disconnected.
 */
class ProxyCall(
    private val call: AdmittedCall,
    private val exchange: CallerExchange,
    private val services: CallServices,
    private val onDone: () -> Unit = {},
) {
    private val route = call.route
    private val clock = services.clock
    private val work = services.observer.work(route.name, call.service, call.attributes.hints)
    private val turn = TurnSession(call, services.turns)
    private val response = CallResponse(call, exchange, services) {
        waiting?.let { services.dispatcher.cancel(it) }
        waiting = null
        memory.hold(0)
        bodyMemory.hold(0)
        turn.settle()
        if (body !== call.request.body) body.release()
        onDone()
    }
    private val tried = HashSet<String>()
    private val earlier = EarlierSendings()
    private var streamVersion: String? = null
    private var sends = 0
    private var runs = 0
    private var waiting: WaitingCall? = null
    private var attempt: EndpointAttempt? = null
    private var progress: CallObserver.CallProgress? = null
    private var body: ByteBuf = call.request.body
    private var mayBeSent = true
    private val usage = AttemptUsage(services.versionGate, clock, route.name)
    private val memory = services.memory.holder {
        attempt?.let {
            it.cancel()
            it.handler.overflowed("responses of all calls hold too much memory")
        }
    }

    /** Memory of the earlier turns that are sent before the request's own body. */
    private val bodyMemory = services.memory.holder { end("memory") }

    private val endForMemory = { end("request-memory") }

    /** Starts the call; invoked once. */
    fun start() {
        exchange.onDisconnect = {
            response.log("caller-gone", "events" to turn.events, "sends" to sends)
            val wasRun = runs > 0 || attempt != null
            attempt?.let(::cancelAttempt)
            if (!wasRun) call.account?.let { services.rateLimiter.refund(it) }
            response.endWithoutCaller()
        }
        services.scheduler.after(call.expiresAt - clock.now()) { end("deadline") }
        services.streamVersions.find(call, ::begin)
    }

    /**
     * Ends the call for [reason]; it is sent to no endpoint from now on. With [isUnsentOnly] a call that an endpoint
     * runs, or whose turn is being stored, may still finish.
     */
    fun end(reason: String, isUnsentOnly: Boolean = false) {
        mayBeSent = false
        val current = attempt
        val isUnsent = waiting != null || (current == null && runs == 0)
        if (isUnsentOnly && !isUnsent) return
        if (current != null) {
            runs++
            cancelAttempt(current)
        }
        when {
            response.isDone -> Unit
            runs > 0 || response.isStarted -> response.fail(GATEWAY_TIMEOUT, reason)
            else -> response.refuse(UNAVAILABLE, "$reason-before-send", Duration.ZERO.takeIf { isUnsentOnly })
        }
    }

    private fun begin(continuation: StreamContinuation) {
        val resumed = call.attributes.resumedAttempt
        if (resumed != null) response.log("resumes", "began_as" to resumed, "continuation" to continuation)
        streamVersion = (continuation as? StreamContinuation.At)?.version
        when {
            response.isDone -> Unit
            continuation is StreamContinuation.Nowhere ->
                response.refuse(UNAVAILABLE, "stream-version-unknown", UNKNOWN_RETRY_AFTER)
            turn.needsBegin -> turn.begin(::turnBegun)
            else -> submit()
        }
    }

    private fun turnBegun(start: TurnStart) {
        when {
            response.isDone -> turn.settle()
            start is TurnStart.Ready -> {
                if (start.earlier.isNotEmpty()) {
                    body = turn.bodyAfter(start.earlier)
                    bodyMemory.hold(body.readableBytes().toLong() - call.request.body.readableBytes())
                }
                if (!response.isDone) submit()
            }
            start is TurnStart.BudgetSpent -> {
                services.activity.recordBudgetSpent(call.programKey)
                response.refuse(PAYMENT_REQUIRED, "budget-spent")
            }
            start is TurnStart.NoSuchTurn -> response.refuse(NOT_FOUND, "no-such-turn")
            else -> response.refuse(UNAVAILABLE, "history-unknown", UNKNOWN_RETRY_AFTER)
        }
    }

    private fun submit() {
        if (!mayBeSent) {
            giveUp("stopping", Duration.ZERO)
            return
        }
        exchange.holdFor(call.service.name, endForMemory)
        val next = WaitingCall(
            scheduling = call.scheduling,
            placement = PlacementRequest(
                service = call.service,
                affinity = route.affinityOf(call.attributes),
                tried = tried,
                version = streamVersion,
                work = work,
                route = route.name,
                callKey = call.attributes.attemptId,
            ),
            onPlaced = ::send,
            onRefused = { retryAfter ->
                waiting = null
                giveUp("no-endpoint-in-time", retryAfter)
            },
        )
        waiting = next
        services.dispatcher.submit(next)
    }

    private fun send(state: EndpointState) {
        waiting = null
        val isWhole = call.attributes.resumedAttempt == null && turn.lastEventId == null
        progress = services.observer.begin(state, work, isWhole)
        services.firstSteps.record(FirstStep.SENT)
        if (sends == 0) services.metrics.placed(route.kind, clock.now() - call.arrivedAt)
        sends++
        exchange.holdFor(state.endpoint.id, endForMemory)
        usage.start()
        tried.add(state.endpoint.id)
        val outcome = AttemptOutcome(state)
        val next = when (streamVersion) {
            null -> services.streamVersions.attempt(call, state, outcome, earlier) { attempt === it }
            else -> EndpointAttempt(state, outcome, earlier.connections)
        }
        attempt = next
        val headers = call.headersFor(services.names, state, call.callerDeadline - clock.now(), turn.lastEventId)
        services.sender.send(next, call, headers, body.retainedDuplicate())
    }

    /** Retries the call if time, attempts and the route's kind allow it, else responds with [reason]. */
    private fun retryOrGiveUp(reason: String) {
        val hasTime = call.expiresAt - clock.now() > MIN_RETRY_TIME
        val mayRunAgain = runs == 0 || (route.isRepeatable && runs < route.maxAttempts.coerceAtLeast(1))
        when {
            response.isDone -> Unit
            hasTime && mayRunAgain && sends < MAX_ATTEMPTS -> submit()
            else -> giveUp(reason, UNKNOWN_RETRY_AFTER)
        }
    }

    private fun giveUp(reason: String, retryAfter: Duration? = null) =
        if (runs == 0) response.refuse(UNAVAILABLE, reason, retryAfter) else response.fail(BAD_GATEWAY, reason)

    private fun endStream(endpoint: Endpoint, arrival: Arrival) {
        response.log(
            "streamed",
            "endpoint" to endpoint.id,
            "version" to endpoint.version,
            "events" to turn.events,
            "sends" to sends,
            "connection" to arrival.connection,
            "reads" to arrival.reads,
        )
        when {
            !response.isStarted -> response.fail(BAD_GATEWAY, "stream without events")
            // The caller sees the end of a turn only once the turn is stored.
            route.isStateful -> turn.store(services, { response.isDone }) { isStored ->
                if (isStored) response.endStream() else response.fail(BAD_GATEWAY, "turn not stored")
            }
            else -> response.endStream()
        }
    }

    private fun cancelAttempt(current: EndpointAttempt) {
        attempt = null
        usage.end(current.state, AttemptResult.CANCELLED, turn.events)
        memory.hold(0)
        current.cancel()
        progress?.ended()
        current.state.inFlight--
        services.dispatcher.assignWaiting()
    }

    /** The connection on which a response arrived and the number of reads that it took; null if it was given up. */
    private class Arrival(val connection: Long?, val reads: Int?)

    /** Handles the events of one attempt at the endpoint of [state]. */
    private inner class AttemptOutcome(private val state: EndpointState) : AttemptHandler {
        private val eventsBefore = turn.events
        private val responseBuffer = ResponseBuffer(route.kind == RouteKind.STREAM, turn.goesOnBehind) { head, event ->
            progress?.event()
            if (!response.isDone) {
                streamVersion = state.endpoint.version
                turn.recordEvent(event)
                response.sendEvent(head, event)
            }
        }

        override fun notSent(reason: String) {
            state.recordFailure()
            response.log("not-sent", "endpoint" to state.endpoint.id, "reason" to reason)
            attemptEnded(wasRun = false)
            retryOrGiveUp("endpoints out of reach")
        }

        override fun notExecuted(status: Int) {
            if (status != MISDIRECTED) state.recordFailure()
            response.log(
                "not-executed",
                "endpoint" to state.endpoint.id,
                "status" to status,
                "connection" to attempt?.connectionNumber,
            )
            attemptEnded(wasRun = false)
            retryOrGiveUp("endpoints refuse")
        }

        override fun head(head: ResponseHead) {
            val started = response.startedStatus
            val isOfStream = head.isSuccess && route.kind == RouteKind.STREAM
            val problem = when {
                isOfStream && started != null && head.status != started ->
                    "success ${head.status} after a stream of $started"
                isOfStream && !head.mayHaveEvents -> "success with another content than events"
                else -> null
            }
            if (problem == null) {
                responseBuffer.onHead(head)
            } else {
                attempt?.cancel()
                broken(problem)
            }
        }

        override fun data(data: ByteBuf) {
            responseBuffer.onData(data)
            // The call ends when its caller is cut off while an event is passed on.
            if (attempt == null) return
            val heldBytes = responseBuffer.heldBytes + turn.outputBytes
            val problem = when {
                responseBuffer.isInvalid -> "bytes that are no event"
                heldBytes > MAX_HELD_BYTES -> "response holds more than $MAX_HELD_BYTES bytes"
                else -> null
            }
            if (problem == null) {
                memory.hold(heldBytes.toLong())
            } else {
                attempt?.cancel()
                broken(problem)
            }
        }

        override fun heldBack(bytes: Int) = memory.hold(bytes.toLong())

        override fun end(took: Duration) {
            val head = responseBuffer.head
            when {
                head == null || responseBuffer.endsInsideEvent -> broken("answer ended inside an event")
                // The events that the stream still had are unknown: another endpoint that has none may be wrong.
                responseBuffer.isStream && eventsBefore > 0 && turn.events == eventsBefore ->
                    broken("stream was taken up without an event")
                head.status >= SERVER_ERROR && route.isRepeatable && runs + 1 < route.maxAttempts -> {
                    state.recordFailure()
                    usage.end(state, AttemptResult.FAILURE, turn.events)
                    response.log(
                        "endpoint-failed",
                        "endpoint" to state.endpoint.id,
                        "status" to head.status,
                        "connection" to attempt?.connectionNumber,
                    )
                    attemptEnded(wasRun = true)
                    retryOrGiveUp("endpoint failed")
                }
                else -> {
                    val timePerEvent = took / turn.events.coerceAtLeast(1)
                    val isFailure = head.status >= SERVER_ERROR
                    val result = if (isFailure) AttemptResult.FAILURE else AttemptResult.SUCCESS
                    usage.end(state, result, turn.events)
                    val arrival = Arrival(attempt?.connectionNumber, attempt?.reads)
                    state.recordSuccess(services.latencyBaseline.relative(route.name, timePerEvent))
                    if (head.isSuccess) progress?.succeeded(took)
                    services.poisonCalls.recordResponse(call.fingerprint)
                    attemptEnded(wasRun = true)
                    services.dispatcher.completed(call.service, took)
                    complete(head, arrival)
                }
            }
        }

        override fun broken(reason: String) {
            state.recordFailure()
            usage.end(state, AttemptResult.BROKEN, turn.events)
            if (responseBuffer.head == null) services.poisonCalls.recordCrash(call.fingerprint, state.endpoint.id)
            abandoned(reason)
        }

        override fun abandoned(reason: String) {
            response.log(
                "broken",
                "endpoint" to state.endpoint.id,
                "version" to state.endpoint.version,
                "reason" to reason,
                "events" to turn.events,
                "connection" to attempt?.connectionNumber,
                "reads" to attempt?.reads,
            )
            attemptEnded(wasRun = true)
            retryOrGiveUp(reason)
        }

        private fun complete(head: ResponseHead, arrival: Arrival) {
            if (response.isDone) return
            if (responseBuffer.isStream) {
                endStream(state.endpoint, arrival)
            } else if (response.isStarted) {
                response.fail(BAD_GATEWAY, "endpoint ${state.endpoint.id} answered ${head.status} to a started stream")
            } else {
                response.log(
                    "answered",
                    "endpoint" to state.endpoint.id,
                    "status" to head.status,
                    "sends" to sends,
                    "connection" to arrival.connection,
                    "reads" to arrival.reads,
                    "bytes" to responseBuffer.heldBytes,
                )
                response.sendComplete(head, responseBuffer.body())
            }
        }

        private fun attemptEnded(wasRun: Boolean) {
            attempt = null
            memory.hold(0)
            progress?.ended()
            state.inFlight--
            if (wasRun) runs++
            services.dispatcher.assignWaiting()
        }
    }

    private companion object {
        const val PAYMENT_REQUIRED = 402
        const val NOT_FOUND = 404
        const val MISDIRECTED = 421
        const val SERVER_ERROR = 500
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504

        /** Maximum number of attempts of one call, including those that endpoints did not run. */
        const val MAX_ATTEMPTS = 4

        /**
         * Largest body, or event of a stream, that is accepted. A faulty endpoint may send without end, and a daemon
         * has some ten MB for all its calls.
         */
        const val MAX_HELD_BYTES = 1024 * 1024

        /** A call with less time left is not retried. */
        val MIN_RETRY_TIME = 20.milliseconds

        /** Time in which unreachable daemons usually come back or are replaced. */
        val UNKNOWN_RETRY_AFTER = 200.milliseconds
    }
}

/** Key of calls on the route that benefit from the same endpoint; null if there is none. */
internal fun Route.affinityOf(attributes: CallAttributes): String? =
    if (kind == RouteKind.STREAM) attributes.program ?: attributes.attemptId else null
