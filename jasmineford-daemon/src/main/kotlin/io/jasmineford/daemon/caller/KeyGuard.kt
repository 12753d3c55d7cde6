package io.jasmineford.daemon.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.key.KeyDigest
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.CallEvent
import io.jasmineford.daemon.call.toEvents
import io.jasmineford.daemon.call.toProblem
import io.jasmineford.daemon.warnEvent
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.buffer
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.produceIn
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Ends running calls whose key is withdrawn. It runs on the VM that the caller is connected to and on the VM that the
 * call was forwarded to.
 *
 * @param generationTimeout how long a forwarded call waits here for the configuration in which its key was looked up.
 */
internal class KeyGuard(
    private val control: CoroutineDispatcher,
    private val configuration: ConfigurationHolder,
    private val generationTimeout: Duration = 2.seconds,
) {
    private val running = HashMap<RunningCall, CompletableDeferred<Unit>>()

    /** Applies a new configuration; called on the control thread. */
    fun configurationChanged(after: Configuration) {
        val ended = running.filterKeys { !it.isAllowed(after) }
        ended.values.forEach { it.complete(Unit) }
        if (ended.isNotEmpty()) log.warnEvent("calls_ended_by_withdrawal", "calls" to ended.size)
    }

    /** Returns the answer of [handle] to [call], cut off with a refusal when the key of the call is withdrawn. */
    fun guard(call: Call, handle: (Call) -> Flow<CallEvent>): Flow<CallEvent> {
        val digest = call.keyDigest ?: return handle(call)
        return flow {
            val withdrawn = register(RunningCall(call, digest))
            if (withdrawn == null) {
                emitAll(Refusal(Reason.UNKNOWN_KEY, "the key was withdrawn before the call began").toEvents().asFlow())
                return@flow
            }
            try {
                val guarded = channelFlow { relay(handle(call).buffer(Channel.RENDEZVOUS).produceIn(this), withdrawn) }
                emitAll(guarded.buffer(Channel.RENDEZVOUS))
            } finally {
                withContext(NonCancellable + control) { running.entries.removeIf { it.value == withdrawn } }
            }
        }
    }

    private suspend fun register(call: RunningCall): CompletableDeferred<Unit>? = withContext(control) {
        withTimeoutOrNull(generationTimeout) {
            while (configuration.current.generation < call.call.generation) delay(GENERATION_POLL_INTERVAL)
        }
        val isAllowed = call.isAllowed(configuration.current)
        if (isAllowed) CompletableDeferred<Unit>().also { running[call] = it } else null
    }

    private suspend fun ProducerScope<CallEvent>.relay(
        upstream: ReceiveChannel<CallEvent>,
        withdrawn: CompletableDeferred<Unit>,
    ) {
        var isStreaming = false
        while (true) {
            val event = select {
                withdrawn.onAwait { null }
                upstream.onReceiveCatching { it.getOrThrow() }
            }
            if (event == null) {
                upstream.cancel()
                withdrawalEvents(isStreaming).forEach { send(it) }
                return
            }
            send(event)
            if (event is CallEvent.End) return
            if (event is CallEvent.Head) isStreaming = event.isEventStream()
            if (event is CallEvent.Head && !isStreaming) return sendRest(upstream)
        }
    }

    /**
     * Only streams are cut: any other answer is already complete when its head is sent, and cutting it would corrupt
     * the body.
     */
    private suspend fun ProducerScope<CallEvent>.sendRest(upstream: ReceiveChannel<CallEvent>) {
        for (event in upstream) send(event)
    }

    private fun withdrawalEvents(isStreaming: Boolean): List<CallEvent> {
        val detail = "the key was withdrawn while the call was running"
        // Before the head it is not known here whether an endpoint has begun to run the call.
        if (!isStreaming) return Refusal(Reason.KEY_WITHDRAWN, detail, Outcome.OUTCOME_UNKNOWN).toEvents()
        val refusal = Refusal(Reason.KEY_WITHDRAWN, detail, Outcome.FAILED_RUN)
        val problem = "event: problem\ndata: ${Json.encodeToString(refusal.toProblem())}\n\n"
        val outcome = "event: outcome\ndata: {\"outcome\":\"${refusal.outcome.label}\",\"reason\":\"${refusal.reason.label}\"}\n\n"
        return listOf(
            CallEvent.Data(problem.toByteArray()),
            CallEvent.Data(outcome.toByteArray()),
            CallEvent.End(refusal.outcome, refusal.reason),
        )
    }

    private fun CallEvent.Head.isEventStream(): Boolean = headers.any {
        it.name.equals("Content-Type", ignoreCase = true) && it.value.startsWith("text/event-stream")
    }

    private class RunningCall(val call: Call, private val digest: KeyDigest) {
        fun isAllowed(configuration: Configuration): Boolean = configuration.accountOf(digest) == call.account
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val GENERATION_POLL_INTERVAL = 20.milliseconds
    }
}
