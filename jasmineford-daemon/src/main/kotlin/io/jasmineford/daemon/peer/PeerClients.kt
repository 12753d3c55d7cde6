package io.jasmineford.daemon.peer

import io.grpc.ManagedChannel
import io.grpc.StatusException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.toEvents
import io.jasmineford.protocol.PeerGrpcKt
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.asFlow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.onEach
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import io.jasmineford.daemon.call.CallEvent as Event

/** Connections to other daemons, one for each address. */
internal class PeerClients(
    private val vm: String,
    private val clock: MonotonicClock,
    private val generation: () -> Long,
) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /** Sends [call] to the daemon at [address] and returns its answer. */
    fun forward(address: String, call: Call): Flow<Event> {
        var isHeadSeen = false
        val stub = stub(address).withDeadlineAfter(timeLeft(call).inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return stub.forwardCall(call.toMessage(vm, generation(), clock.now()))
            .map { it.toEvent() }
            .onEach { if (it is Event.Head) isHeadSeen = true }
            .catch { e ->
                if (e !is StatusException) throw e
                val refusal = Refusal(Reason.KEEPER_LOST, "${e.status.code}", Outcome.OUTCOME_UNKNOWN)
                val events = refusal.toEvents()
                emitAll(if (isHeadSeen) flow { emit(events.last()) } else events.asFlow())
            }
    }

    /** Stub for the daemon at [address]. */
    fun stub(address: String): PeerGrpcKt.PeerCoroutineStub =
        PeerGrpcKt.PeerCoroutineStub(channels.computeIfAbsent(address, ::connect))

    override fun close() = channels.values.forEach { it.shutdownNow() }

    private fun connect(address: String): ManagedChannel =
        NettyChannelBuilder.forTarget(address).usePlaintext().build()

    private fun timeLeft(call: Call): Duration = (call.deadline - clock.now()).coerceAtLeast(Duration.ZERO)
}
