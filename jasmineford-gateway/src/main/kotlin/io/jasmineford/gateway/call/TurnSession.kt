package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.turn.TokenEntry
import io.jasmineford.gateway.turn.TurnRecord
import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** State of the turn that a call produces: its predecessor, its token reservation and its output so far. */
internal class TurnSession(private val call: AdmittedCall, private val turns: TurnCoordinator) {
    private val previous = call.attributes.previousTurn.takeIf { call.route.isStateful }
    private val tokens: TokenEntry? =
        if (call.route.kind == RouteKind.STREAM) {
            tokenEntryOf(
                call.accountName,
                call.attributes,
                call.arrivedAtMillis
            )
        } else {
            null
        }
    private var reserved: TokenEntry? = null
    private val output = ByteArrayOutputStream()

    /** Number of events passed on to the caller. */
    var events = 0
        private set

    /** Id of the last event that had one. */
    var lastEventId: String? = null
        private set

    /** Number of the last event that the caller of a resumable stream has; null if ids can't be compared. */
    val goesOnBehind: Long?
        get() {
            val last = lastEventId ?: call.request.headers[LAST_EVENT_ID] ?: BEFORE_FIRST_EVENT
            return last.toLongOrNull().takeIf { call.route.isResumable }
        }

    /** Size of the output that is kept to be stored. */
    val outputBytes: Int get() = output.size()

    /** Whether [begin] has to succeed before the call is sent. */
    val needsBegin: Boolean get() = tokens != null || previous != null

    /** Reads the turns that this one continues and reserves its tokens. */
    fun begin(onDone: (TurnStart) -> Unit) =
        turns.begin(call.accountName, previous, tokens, call.attributes.tokenBudget) { result ->
            reserved = result.reserved
            onDone(result.start)
        }

    /** Body of a turn that continues [earlier]: their inputs and outputs in order, then the call's own body. */
    fun bodyAfter(earlier: List<TurnRecord>): ByteBuf {
        val body = Unpooled.compositeBuffer(earlier.size * 2 + 1)
        earlier.forEach { turn ->
            body.addComponent(true, Unpooled.wrappedBuffer(turn.input))
            body.addComponent(true, Unpooled.wrappedBuffer(turn.output))
        }
        return body.addComponent(true, call.request.body.retainedDuplicate())
    }

    /** Records an event that is passed on to the caller. */
    fun recordEvent(event: StreamEvent) {
        events++
        lastEventId = event.id ?: lastEventId
        if (call.route.isStateful) output.writeBytes(event.data.toByteArray() + LINE_FEED)
    }

    /** Replaces the reservation by the tokens passed on to the caller, unless it has been settled. */
    fun settle() {
        reserved?.let { turns.settle(it, usedTokens()) }
        reserved = null
    }

    /**
     * Stores the completed turn. Retries until it is stored, the call expires or [isAbandoned] holds; [onDone] gets
     * whether a majority of history daemons has it on disk, and is not called after abandonment.
     */
    fun store(services: CallServices, isAbandoned: () -> Boolean, onDone: (Boolean) -> Unit) {
        val clock = services.clock
        val startedAt = clock.now()
        turns.finish(reserved, usedTokens(), record()) { isStored ->
            if (isStored) reserved = null
            when {
                isAbandoned() -> Unit
                isStored || clock.now() >= call.expiresAt -> onDone(isStored)
                else -> services.scheduler.after((startedAt + STORE_RETRY - clock.now()).coerceAtLeast(Duration.ZERO)) {
                    if (!isAbandoned()) store(services, isAbandoned, onDone)
                }
            }
        }
    }

    private fun record(): TurnRecord {
        val input = ByteBufUtil.getBytes(call.request.body)
        return TurnRecord(call.attributes.attemptId, call.accountName, previous, input, output.toByteArray())
    }

    private fun usedTokens() = events * call.service.tokensPerEvent

    companion object {
        /**
         * Whether [call] is a turn whose caller asks for the events after another attempt's. Its output could not be
         * stored whole, and later turns would be built on a part of it.
         */
        fun isPartial(call: AdmittedCall): Boolean =
            call.route.isStateful && call.request.headers.contains(LAST_EVENT_ID)

        private const val LINE_FEED = '\n'.code.toByte()

        /** Standard header of server-sent events. */
        private const val LAST_EVENT_ID = "Last-Event-Id"
        private const val BEFORE_FIRST_EVENT = "-1"

        /** Minimum interval between attempts to store a turn. */
        private val STORE_RETRY = 200.milliseconds
    }
}
