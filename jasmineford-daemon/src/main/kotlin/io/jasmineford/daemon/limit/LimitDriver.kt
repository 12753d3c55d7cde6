package io.jasmineford.daemon.limit

import io.grpc.StatusException
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.limit.AccountLimiter
import io.jasmineford.core.limit.AccountRate
import io.jasmineford.core.limit.Admission
import io.jasmineford.core.limit.BucketOwner
import io.jasmineford.core.limit.LimitMessage
import io.jasmineford.core.limit.QuantityOwnership
import io.jasmineford.core.limit.SharedLimiter
import io.jasmineford.core.limit.SliceSettings
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.protocol.BorrowReply
import io.jasmineford.protocol.BorrowRequest
import io.jasmineford.protocol.PeerGrpcKt
import io.jasmineford.protocol.QuantityHandOver
import io.jasmineford.protocol.ReturnRequest
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/**
 * Enforces account rates across all daemons: sends the messages of [SharedLimiter] and answers those of other daemons.
 *
 * @param control the control thread, on which [admit] is called too.
 * @param stub returns the client for the daemon at a peer address.
 */
internal class LimitDriver(
    private val vm: String,
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val shards: Int,
    private val stub: (address: String) -> PeerGrpcKt.PeerCoroutineStub,
) : AccountLimiter {
    private val settings = SliceSettings()
    private var running: Running? = null

    private class Running(val membership: Membership, val owner: BucketOwner, val limiter: SharedLimiter)

    /**
     * Lends slices of the buckets that [membership] assigns to this VM and borrows those of others, until [scope] is
     * cancelled.
     */
    fun start(scope: CoroutineScope, membership: Membership) {
        val ownership = QuantityOwnership(membership, shards)
        val owner = BucketOwner(ownership, clock, settings) { configuration.current.rateOf(scopedName(it)) }
        val limiter = SharedLimiter(vm, ownership, owner, clock, settings)
        running = Running(membership, owner, limiter)
        scope.launch {
            while (true) {
                limiter.poll().forEach { message -> launch { send(message) } }
                delay(POLL_INTERVAL)
            }
        }
    }

    override fun admit(account: ScopedName, rate: AccountRate): Admission =
        running?.limiter?.admit(account, rate) ?: Admission.Wait(settings.minRetryDelay)

    /** Answers another daemon's request for a slice of a bucket. */
    suspend fun borrow(request: BorrowRequest): BorrowReply = withContext(control) {
        val grant = running?.owner?.borrow(request.name, request.borrower, request.amount)
        if (grant == null) BorrowReply.newBuilder().setNotOwner(true).build() else grant.toMessage()
    }

    /** Takes back the unused part of a slice. */
    suspend fun returnSlice(request: ReturnRequest): Unit = withContext(control) {
        running?.owner?.returnSlice(request.name, request.sliceId, request.amount)
    }

    /** Takes over the levels of buckets whose previous owner handed over their shard. */
    suspend fun takeOver(request: QuantityHandOver): Unit = withContext(control) {
        running?.owner?.receiveState(request.toState())
    }

    private suspend fun send(message: LimitMessage) {
        val current = running ?: return
        val address = current.membership.leases()[message.vm]?.identity?.peerAddress
        try {
            val timeoutMs = settings.replyTimeout.inWholeMilliseconds
            val peer = address?.let(stub)?.withDeadlineAfter(timeoutMs, TimeUnit.MILLISECONDS)
            when (message) {
                is LimitMessage.Borrow ->
                    current.limiter.onGrant(message, peer?.borrowSlice(message.toRequest(vm))?.toGrant())

                is LimitMessage.Return -> peer?.returnSlice(message.toRequest(vm))
                is LimitMessage.HandOver -> peer?.handOverQuantities(message.toRequest(vm))
            }
        } catch (_: StatusException) {
            // The units of a lost message become available again when the slice's validity ends.
            if (message is LimitMessage.Borrow) current.limiter.onGrant(message, grant = null)
        }
    }

    private fun scopedName(name: String) = ScopedName(name.substringBefore('/'), name.substringAfter('/'))

    private companion object {
        val POLL_INTERVAL = 10.milliseconds
    }
}
