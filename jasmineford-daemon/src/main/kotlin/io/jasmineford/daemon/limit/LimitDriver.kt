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
 * Shares account rates with the other daemons: sends the messages of the limiter and answers theirs.
 *
 * @param control the control thread, on which [admit] is called too.
 * @param stub client for the daemon at a peer address.
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

    /** Starts to lend and borrow by the rights of [membership], until [scope] is cancelled. */
    fun start(scope: CoroutineScope, membership: Membership) {
        val rights = QuantityOwnership(membership, shards)
        val owner = BucketOwner(rights, clock, settings) { configuration.current.rateOf(scopedName(it)) }
        val limiter = SharedLimiter(vm, rights, owner, clock, settings)
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

    /** Answers another daemon's request for a slice. */
    suspend fun borrow(request: BorrowRequest): BorrowReply = withContext(control) {
        val grant = running?.owner?.borrow(request.name, request.borrower, request.amount)
        if (grant == null) BorrowReply.newBuilder().setNotOwner(true).build() else grant.toMessage()
    }

    /** Takes a slice back. */
    suspend fun giveBack(request: ReturnRequest): Unit = withContext(control) {
        running?.owner?.returnSlice(request.name, request.sliceId, request.amount)
    }

    /** Takes the state of buckets that their owner handed over. */
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
            // A lost message costs at most the validity of a slice.
            if (message is LimitMessage.Borrow) current.limiter.onGrant(message, grant = null)
        }
    }

    private fun scopedName(name: String) = ScopedName(name.substringBefore('/'), name.substringAfter('/'))

    private companion object {
        val POLL_INTERVAL = 10.milliseconds
    }
}
