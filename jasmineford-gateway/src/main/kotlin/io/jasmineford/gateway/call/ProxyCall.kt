package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.http.CallerExchange
import io.netty.buffer.ByteBuf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Life cycle of one admitted call: starts its turn, waits for an endpoint, sends the call, retries it and responds to
 * the caller.
 *
 * Whether a call may be retried after it may have run depends on the kind of its route only.
 */
class ProxyCall(
    private val call: AdmittedCall,
    private val exchange: CallerExchange,
    private val services: CallServices,
) {
    private val route = call.route
    private val clock = services.clock
    private val turn = TurnSession(call, services.turns)
    private val answer = CallAnswer(call, exchange, services, ::finished)
    private val tried = HashSet<String>()
    private var sends = 0
    private var runs = 0
    private var waiting: WaitingCall? = null
    private var attempt: EndpointAttempt? = null
    private var body: ByteBuf = call.request.body

    /** Starts the call; invoked once. */
    fun start() {
        exchange.onCallerGone = {
            answer.note("caller-gone", "events" to turn.events, "sends" to sends)
            attempt?.let(::stop)
            answer.callerGone()
        }
        services.scheduler.after(call.expiresAt - clock.now(), ::expire)
        if (turn.needsBegin) turn.begin(::turnBegun) else submit()
    }

    private fun turnBegun(start: TurnStart) {
        when {
            answer.isDone -> turn.settle()
            start is TurnStart.Ready -> {
                if (start.earlier.isNotEmpty()) body = turn.bodyAfter(start.earlier)
                submit()
            }
            start is TurnStart.BudgetSpent -> {
                services.activity.recordBudgetSpent(call.programKey)
                answer.refuse(PAYMENT_REQUIRED, "budget-spent")
            }
            start is TurnStart.NoSuchTurn -> answer.refuse(NOT_FOUND, "no-such-turn")
            else -> answer.refuse(UNAVAILABLE, "history-unknown", UNKNOWN_RETRY_AFTER)
        }
    }

    private fun submit() {
        val isTurn = route.kind == RouteKind.STREAM
        val affinity = if (isTurn) call.attributes.program ?: call.attributes.attemptId else null
        val next = WaitingCall(
            ticket = call.ticket,
            placement = PlacementRequest(call.service, affinity, tried),
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
        if (sends == 0) services.metrics.placed(route.kind, clock.now() - call.arrivedAt)
        sends++
        tried.add(state.endpoint.id)
        val next = EndpointAttempt(state, Outcome(state))
        attempt = next
        val headers = call.headersFor(services.names, state, call.callerDeadline - clock.now(), turn.lastEventId)
        services.sender.send(next, call, headers, body.retainedDuplicate())
    }

    /** Retries the call if time, attempts and the route's kind allow it, else responds with [reason]. */
    private fun again(reason: String) {
        val hasTime = call.expiresAt - clock.now() > LEAST_RETRY_TIME
        val mayRunAgain = runs == 0 || (route.isRepeatable && runs < route.maxAttempts.coerceAtLeast(1))
        when {
            answer.isDone -> Unit
            hasTime && mayRunAgain && sends < MAX_SENDS -> submit()
            else -> giveUp(reason, UNKNOWN_RETRY_AFTER)
        }
    }

    private fun giveUp(reason: String, retryAfter: Duration? = null) =
        if (runs == 0) answer.refuse(UNAVAILABLE, reason, retryAfter) else answer.fail(BAD_GATEWAY, reason)

    private fun endStream() {
        answer.note("streamed", "events" to turn.events, "sends" to sends)
        when {
            !answer.isStarted -> answer.fail(BAD_GATEWAY, "stream without events")
            // The caller sees the end of a turn only once the turn is stored.
            route.isStateful -> turn.store(services, { answer.isDone }) { isStored ->
                if (isStored) answer.endStream() else answer.fail(BAD_GATEWAY, "turn not stored")
            }
            else -> answer.endStream()
        }
    }

    private fun expire() {
        val current = attempt
        if (current != null) {
            runs++
            stop(current)
        }
        when {
            answer.isDone -> Unit
            runs > 0 || answer.isStarted -> answer.fail(GATEWAY_TIMEOUT, "deadline")
            else -> answer.refuse(UNAVAILABLE, "deadline-before-send")
        }
    }

    private fun stop(current: EndpointAttempt) {
        attempt = null
        current.cancel()
        current.state.inFlight--
        services.dispatcher.run()
    }

    private fun finished() {
        waiting?.let { services.dispatcher.cancel(it) }
        waiting = null
        turn.settle()
        if (body !== call.request.body) body.release()
    }

    /** Handles the events of one attempt at the endpoint of [state]. */
    private inner class Outcome(private val state: EndpointState) : AttemptHandler {
        private val answerBuffer = AnswerBuffer(route.kind == RouteKind.STREAM) { head, event ->
            if (!answer.isDone) {
                turn.note(event)
                answer.event(head, event)
            }
        }

        override fun notSent(reason: String) {
            state.noteFailure()
            answer.note("not-sent", "endpoint" to state.endpoint.id, "reason" to reason)
            ended(wasRun = false)
            again("endpoints out of reach")
        }

        override fun notExecuted(status: Int) {
            if (status != MISDIRECTED) state.noteFailure()
            answer.note("not-executed", "endpoint" to state.endpoint.id, "status" to status)
            ended(wasRun = false)
            again("endpoints refuse")
        }

        override fun head(head: AttemptHead) = answerBuffer.begin(head)

        override fun data(data: ByteBuf) = answerBuffer.add(data)

        override fun end(took: Duration) {
            val head = answerBuffer.head
            when {
                head == null || answerBuffer.isTorn -> broken("answer ended inside an event")
                head.status >= SERVER_ERROR && route.isRepeatable && runs + 1 < route.maxAttempts -> {
                    state.noteFailure()
                    ended(wasRun = true)
                    again("endpoint failed")
                }
                else -> {
                    state.noteSuccess(services.usualTimes.relative(route.name, took / turn.events.coerceAtLeast(1)))
                    services.suspects.noteAnswered(call.fingerprint)
                    ended(wasRun = true)
                    services.dispatcher.completed(call.service, took)
                    complete(head)
                }
            }
        }

        override fun broken(reason: String) {
            state.noteFailure()
            if (answerBuffer.head == null) services.suspects.noteBroken(call.fingerprint)
            answer.note("broken", "endpoint" to state.endpoint.id, "reason" to reason, "events" to turn.events)
            ended(wasRun = true)
            again(reason)
        }

        private fun complete(head: AttemptHead) {
            if (answer.isDone) return
            if (answerBuffer.isStream) {
                endStream()
            } else {
                answer.note("answered", "endpoint" to state.endpoint.id, "status" to head.status, "sends" to sends)
                answer.whole(head, answerBuffer.take())
            }
        }

        private fun ended(wasRun: Boolean) {
            attempt = null
            state.inFlight--
            if (wasRun) runs++
            services.dispatcher.run()
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
        const val MAX_SENDS = 4

        /** A call with less time left is not retried. */
        val LEAST_RETRY_TIME = 20.milliseconds

        /** Time in which unreachable daemons usually come back or are replaced. */
        val UNKNOWN_RETRY_AFTER = 200.milliseconds
    }
}
