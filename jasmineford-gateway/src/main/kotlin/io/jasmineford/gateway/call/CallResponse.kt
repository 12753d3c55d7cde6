package io.jasmineford.gateway.call

import io.jasmineford.gateway.http.CallerExchange
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * Sends the response of a call to its caller, exactly once.
 *
 * Callers rely on the kind of response: a refusal guarantees that the call has not run and never will, a failure leaves
 * open whether it has.
 *
 * @param onDone called once, before the response is completed.
 */
internal class CallResponse(
    private val call: AdmittedCall,
    private val exchange: CallerExchange,
    private val services: CallServices,
    private val onDone: () -> Unit,
) {
    /** Whether the response is complete or the caller has disconnected. */
    var isDone = false
        private set

    /** Status of the stream whose head has been sent; null before. */
    var startedStatus: Int? = null
        private set

    /** Whether the head of a stream has been sent. From then on, the response is a stream that ends or is cut off. */
    val isStarted: Boolean get() = startedStatus != null

    /** Sends the complete response of an endpoint; a started stream, of which it can't be a part, is cut off. */
    fun sendComplete(head: ResponseHead, body: ByteBuf) = finish("answered") {
        services.firstSteps.record(FirstStep.ANSWERED)
        respond(head.status, head.headers, body)
    }

    /** Sends an event, preceded by the stream's head if it is the first one. */
    fun sendEvent(head: ResponseHead, event: StreamEvent) {
        if (!isStarted) exchange.startAnswer(head.status, head.headers)
        startedStatus = startedStatus ?: head.status
        exchange.sendPart(Unpooled.wrappedBuffer(event.bytes))
    }

    /** Ends the stream as complete. */
    fun endStream() = finish("streamed") {
        services.firstSteps.record(FirstStep.ANSWERED)
        exchange.endAnswer()
    }

    /** Refuses the call, which has not run and will not; it does not count against its account's rate limit. */
    fun refuse(status: Int, reason: String, retryAfter: Duration? = null) {
        if (isDone) return
        if (isStarted) {
            // A call with a started response has run.
            fail(status, reason)
            return
        }
        val previous = call.attributes.previousTurn
        log("refused", "status" to status, "reason" to reason, "retry_after" to retryAfter, "previous" to previous)
        val headers = refusalHeaders(services.names, call.attributes.attemptId, retryAfter)
        services.metrics.refused(reason)
        call.account?.let { services.rateLimiter.refund(it) }
        finish("refused") { respond(status, headers, Unpooled.EMPTY_BUFFER) }
    }

    /** Reports that the call may have run; a started stream is cut off without its end. */
    fun fail(status: Int, reason: String) {
        if (isDone) return
        log("failed", "status" to status, "reason" to reason)
        val headers = refusalHeaders(services.names, call.attributes.attemptId, retryAfter = null)
        finish("failed") { respond(status, headers, Unpooled.EMPTY_BUFFER) }
    }

    /** Ends the call after its caller has disconnected. */
    fun endWithoutCaller() = finish("caller-gone") {}

    /** Logs [event] of the call with [fields]. */
    fun log(event: String, vararg fields: Pair<String, Any?>) = services.log.event(
        "call-$event",
        "id" to call.attributes.attemptId,
        "route" to call.route.name,
        "account" to call.accountName,
        "program" to call.attributes.program,
        "ms" to age().inWholeMilliseconds,
        *fields,
    )

    private fun age() = services.clock.now() - call.arrivedAt

    private fun respond(status: Int, headers: HttpHeaders, body: ByteBuf) {
        if (isStarted) {
            body.release()
            exchange.abort()
        } else {
            exchange.answer(status, headers, body)
        }
    }

    private fun finish(outcome: String, send: () -> Unit) {
        if (isDone) return
        isDone = true
        services.metrics.ended(call.route.kind, outcome, age())
        try {
            onDone()
        } finally {
            send()
        }
    }
}
