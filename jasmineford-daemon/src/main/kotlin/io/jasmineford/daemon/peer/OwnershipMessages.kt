package io.jasmineford.daemon.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.google.protobuf.ByteString
import io.grpc.StatusException
import io.jasmineford.core.lease.LeaseHolder
import io.jasmineford.core.lease.MembershipAction
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.core.lease.leaseKey
import io.jasmineford.daemon.control.MembershipPeers
import io.jasmineford.protocol.RenewReply
import io.jasmineford.protocol.RenewRequest
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import io.jasmineford.core.lease.PromiseRequest as Request
import io.jasmineford.protocol.PromiseRequest as RequestMessage

/** Membership calls to other daemons over gRPC. */
internal class GrpcMembershipPeers(
    private val clients: PeerClients,
    private val timeout: Duration,
) : MembershipPeers {
    override suspend fun renew(address: String, action: MembershipAction.WriteLease): Result<StoredObject, StoreError> {
        val request = RenewRequest.newBuilder()
            .setVm(action.lease.identity.vm)
            .setLease(ByteString.copyFromUtf8(leaseJson.encodeToString(action.lease)))
            .setResourceVersion(action.expectedVersion.toString())
            .setNonce(action.nonce)
            .build()
        return try {
            stub(address).renewLeaseFor(request).toResult(leaseKey(action.lease.identity.vm))
        } catch (e: StatusException) {
            Err(StoreError.Unavailable("peer $address: ${e.status.code}"))
        }
    }

    override suspend fun promise(address: String, request: Request): Boolean = try {
        stub(address).promiseNoRevoke(request.toMessage()).promised
    } catch (_: StatusException) {
        false
    }

    private fun stub(address: String) =
        clients.stub(address).withDeadlineAfter(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
}

internal fun Request.toMessage(): RequestMessage = RequestMessage.newBuilder()
    .setVm(holder.vm)
    .setIncarnation(holder.incarnation)
    .setMemberVm(member.vm)
    .setMemberIncarnation(member.incarnation)
    .setMapEpoch(mapEpoch)
    .setIntervalMs(interval.inWholeMilliseconds)
    .build()

internal fun RequestMessage.toRequest(): Request = Request(
    holder = LeaseHolder(vm, incarnation),
    member = LeaseHolder(memberVm, memberIncarnation),
    mapEpoch = mapEpoch,
    interval = intervalMs.milliseconds,
)

/**
 * Writes the renewed lease of another VM as [request] asks. The nonce is that VM's, so it recognises the write as its
 * own.
 */
internal suspend fun renewFor(store: ObjectStore, request: RenewRequest): RenewReply {
    val version = request.resourceVersion.toLongOrNull() ?: return RenewReply.getDefaultInstance()
    val reply = RenewReply.newBuilder()
    store.put(leaseKey(request.vm), request.lease.toStringUtf8(), version, request.nonce).fold(
        success = { reply.setRenewed(true).setStored(it) },
        failure = { error -> if (error is StoreError.Conflict) reply.setConflict(true).setStored(error.current) },
    )
    return reply.build()
}

private fun RenewReply.Builder.setStored(stored: StoredObject?): RenewReply.Builder {
    if (stored == null) return this
    return setLease(ByteString.copyFromUtf8(stored.value))
        .setResourceVersion(stored.version.toString())
        .setNonce(stored.nonce)
}

private fun RenewReply.toResult(key: String): Result<StoredObject, StoreError> {
    val version = resourceVersion.toLongOrNull()
    val stored = version?.let { StoredObject(key, it, nonce, lease.toStringUtf8()) }
    return when {
        renewed && stored != null -> Ok(stored)
        conflict -> Err(StoreError.Conflict(stored))
        else -> Err(StoreError.Unavailable("the peer got no reply from the store"))
    }
}
