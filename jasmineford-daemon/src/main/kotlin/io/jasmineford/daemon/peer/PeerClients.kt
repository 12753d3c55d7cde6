package io.jasmineford.daemon.peer

import io.grpc.ManagedChannel
import io.grpc.StatusException
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.call.ShardOwnerLostException
import io.jasmineford.protocol.PeerGrpcKt
import io.jasmineford.protocol.ProbeReply
import io.jasmineford.protocol.ProbeRequest
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch
import kotlinx.coroutines.flow.map
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import io.jasmineford.daemon.call.CallEvent as Event

/** gRPC channels to other daemons, one for each address. */
internal class PeerClients(
    private val vm: String,
    private val clock: MonotonicClock,
    private val generation: () -> Long,
) : AutoCloseable {
    private val channels = ConcurrentHashMap<String, ManagedChannel>()

    /**
     * Forwards [call] to the daemon at [address] and returns its answer. The flow fails with [ShardOwnerLostException].
     */
    fun forward(address: String, call: Call): Flow<Event> {
        val stub = stub(address).withDeadlineAfter(timeLeft(call).inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return stub.forwardCall(call.toMessage(vm, generation(), clock.now()))
            .map { it.toEvent() }
            .catch { e -> throw if (e is StatusException) ShardOwnerLostException("${e.status.code}") else e }
    }

    /** Asks the daemon at [address] whether it accepts calls; null when it doesn't reply in time. */
    suspend fun probe(address: String): ProbeReply? = try {
        stub(address).withDeadlineAfter(PROBE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .probe(ProbeRequest.newBuilder().setVm(vm).build())
    } catch (_: StatusException) {
        null
    }

    /** Returns a stub for the daemon at [address]. */
    fun stub(address: String): PeerGrpcKt.PeerCoroutineStub =
        PeerGrpcKt.PeerCoroutineStub(channels.computeIfAbsent(address, ::connect))

    override fun close() = channels.values.forEach { it.shutdownNow() }

    private fun connect(address: String): ManagedChannel =
        NettyChannelBuilder.forTarget(address).usePlaintext().build()

    private fun timeLeft(call: Call): Duration = (call.deadline - clock.now()).coerceAtLeast(Duration.ZERO)

    private companion object {
        const val PROBE_TIMEOUT_MS = 300L
    }
}
