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

/** The turn that a call makes: what precedes it, its tokens and what it has produced so far. */
internal class TurnSession(private val call: AdmittedCall, private val turns: TurnKeeper) {
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
    private var held: TokenEntry? = null
    private val output = ByteArrayOutputStream()

    /** Whole events handed to the caller. */
    var events = 0
        private set

    /** Id of the last of them. */
    var lastEventId: String? = null
        private set

    /** Whether the turn has to be begun before the call is placed. */
    val needsBegin: Boolean get() = tokens != null || previous != null

    /** Reads what precedes the turn and reserves its tokens. */
    fun begin(onDone: (TurnStart) -> Unit) =
        turns.begin(call.accountName, previous, tokens, call.attributes.tokenBudget) { begun ->
            held = begun.held
            onDone(begun.start)
        }

    /** Body of a turn that continues [earlier] ones: their inputs and outputs in order, then the new input. */
    fun bodyAfter(earlier: List<TurnRecord>): ByteBuf {
        val whole = Unpooled.compositeBuffer(earlier.size * 2 + 1)
        earlier.forEach { turn ->
            whole.addComponent(true, Unpooled.wrappedBuffer(turn.input))
            whole.addComponent(true, Unpooled.wrappedBuffer(turn.output))
        }
        return whole.addComponent(true, call.request.body.retainedDuplicate())
    }

    /** Takes an event that is handed to the caller. */
    fun note(event: StreamEvent) {
        events++
        lastEventId = event.id ?: lastEventId
        if (call.route.isStateful) output.writeBytes(event.data.toByteArray() + LINE_FEED)
    }

    /** Replaces the reservation by the tokens that were handed out. */
    fun settle() {
        held?.let { turns.settle(it, usedTokens()) }
        held = null
    }

    /**
     * Stores the whole turn, again until the call expires or [isAbandoned]; [onDone] tells whether it will outlast the
     * tolerated failures.
     */
    fun store(services: CallServices, isAbandoned: () -> Boolean, onDone: (Boolean) -> Unit) {
        val clock = services.clock
        val startedAt = clock.now()
        turns.finish(held, usedTokens(), record()) { isStored ->
            if (isStored) held = null
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

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()

        /** Pause between tries to store a turn. */
        val STORE_RETRY = 200.milliseconds
    }
}
