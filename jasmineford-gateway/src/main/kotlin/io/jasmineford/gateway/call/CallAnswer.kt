package io.jasmineford.gateway.call

import io.jasmineford.gateway.http.CallerExchange
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import kotlin.time.Duration

/**
 * The one answer of a call. Statuses are promises: a refusal says that the call has not run and never will, a failure
 * says nothing.
 *
 * @param onDone called once, before the answer is complete.
 */
internal class CallAnswer(
    private val call: AdmittedCall,
    private val exchange: CallerExchange,
    private val services: CallServices,
    private val onDone: () -> Unit,
) {
    /** Whether the answer is complete or the caller has left. */
    var isDone = false
        private set

    /** Whether the head of a stream was sent. */
    var isStarted = false
        private set

    /** Answers with a whole answer of an endpoint. */
    fun whole(
        head: AttemptHead,
        body: ByteBuf
    ) = finish("answered") { exchange.answer(head.status, head.headers, body) }

    /** Sends an event, after the head of the stream if it is the first. */
    fun event(head: AttemptHead, event: StreamEvent) {
        if (!isStarted) exchange.startAnswer(head.status, head.headers)
        isStarted = true
        exchange.sendPart(Unpooled.wrappedBuffer(event.bytes))
    }

    /** Ends the stream as complete. */
    fun endStream() = finish("streamed") { exchange.endAnswer() }

    /** The call has not run and will not, so it does not count against its account's allotment. */
    fun refuse(status: Int, reason: String, retryAfter: Duration? = null) {
        if (isDone) return
        val previous = call.attributes.previousTurn
        note("refused", "status" to status, "reason" to reason, "retry_after" to retryAfter, "previous" to previous)
        val headers = refusalHeaders(services.names, call.attributes.attemptId, retryAfter)
        services.metrics.refused(reason)
        call.account?.let { services.meter.refund(it) }
        finish("refused") { exchange.answer(status, headers, Unpooled.EMPTY_BUFFER) }
    }

    /** The call may have run; a stream that was started ends without its last part. */
    fun fail(status: Int, reason: String) {
        if (isDone) return
        note("failed", "status" to status, "reason" to reason)
        val headers = refusalHeaders(services.names, call.attributes.attemptId, retryAfter = null)
        finish("failed") {
            if (isStarted) exchange.abort() else exchange.answer(status, headers, Unpooled.EMPTY_BUFFER)
        }
    }

    /** The caller has left. */
    fun callerGone() = finish("caller-gone") {}

    /** Logs a decision on the call. */
    fun note(event: String, vararg fields: Pair<String, Any?>) = services.log.event(
        "call-$event",
        "id" to call.attributes.attemptId,
        "route" to call.route.name,
        "account" to call.accountName,
        "program" to call.attributes.program,
        "ms" to age().inWholeMilliseconds,
        *fields,
    )

    private fun age() = services.clock.now() - call.arrivedAt

    private fun finish(outcome: String, send: () -> Unit) {
        if (isDone) return
        isDone = true
        services.metrics.ended(call.route.kind, outcome, age())
        onDone()
        send()
    }
}
