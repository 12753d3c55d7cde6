package io.jasmineford.daemon.peer

import io.grpc.Server
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.call.Call
import io.jasmineford.daemon.limit.LimitDriver
import io.jasmineford.protocol.BorrowReply
import io.jasmineford.protocol.BorrowRequest
import io.jasmineford.protocol.CrashReply
import io.jasmineford.protocol.CrashReport
import io.jasmineford.protocol.ForwardedCall
import io.jasmineford.protocol.Generation
import io.jasmineford.protocol.PeerGrpcKt
import io.jasmineford.protocol.ProbeReply
import io.jasmineford.protocol.ProbeRequest
import io.jasmineford.protocol.PromiseReply
import io.jasmineford.protocol.PromiseRequest
import io.jasmineford.protocol.QuantityHandOver
import io.jasmineford.protocol.QuantityHandOverReply
import io.jasmineford.protocol.RenewReply
import io.jasmineford.protocol.RenewRequest
import io.jasmineford.protocol.ReturnReply
import io.jasmineford.protocol.ReturnRequest
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.map
import java.net.InetSocketAddress
import io.jasmineford.core.lease.PromiseRequest as Promise
import io.jasmineford.daemon.call.CallEvent as Event
import io.jasmineford.protocol.CallEvent as EventMessage

/** Functions of the daemon that the peer port uses. */
internal class PeerPort(
    val clock: MonotonicClock,
    val handle: (Call) -> Flow<Event>,
    val probe: suspend () -> ProbeReply,
    val onAnnouncement: suspend (Generation) -> Generation,
    val onCrashReport: suspend (CrashReport) -> CrashReply,
    val ownership: OwnershipPort,
)

/** Functions of the daemon that the peer port uses for leases and shared limits. */
internal class OwnershipPort(
    val promise: suspend (Promise) -> Boolean,
    val renew: suspend (RenewRequest) -> RenewReply,
    val limits: LimitDriver,
)

/** gRPC service for other daemons. */
internal class PeerService(private val port: PeerPort) : PeerGrpcKt.PeerCoroutineImplBase() {
    override fun forwardCall(request: ForwardedCall): Flow<EventMessage> =
        port.handle(request.toCall(port.clock.now())).map { it.toMessage() }

    override suspend fun announceGeneration(request: Generation): Generation = port.onAnnouncement(request)

    override suspend fun reportCrash(request: CrashReport): CrashReply = port.onCrashReport(request)

    override suspend fun probe(request: ProbeRequest): ProbeReply = port.probe()

    override suspend fun promiseNoRevoke(request: PromiseRequest): PromiseReply =
        PromiseReply.newBuilder().setPromised(port.ownership.promise(request.toRequest())).build()

    override suspend fun borrowSlice(request: BorrowRequest): BorrowReply = port.ownership.limits.borrow(request)

    override suspend fun returnSlice(request: ReturnRequest): ReturnReply {
        port.ownership.limits.returnSlice(request)
        return ReturnReply.getDefaultInstance()
    }

    override suspend fun handOverQuantities(request: QuantityHandOver): QuantityHandOverReply {
        port.ownership.limits.takeOver(request)
        return QuantityHandOverReply.getDefaultInstance()
    }

    override suspend fun renewLeaseFor(request: RenewRequest): RenewReply = port.ownership.renew(request)
}

/** Creates the server of [service] on [host] and [port]; port 0 lets the system choose a free port. */
internal fun peerServer(host: String, port: Int, service: PeerService): Server =
    NettyServerBuilder.forAddress(InetSocketAddress(host, port)).addService(service).build()
