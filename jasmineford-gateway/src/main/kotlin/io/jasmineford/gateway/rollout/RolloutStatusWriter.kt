package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.store.StoreReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Writes the status of the object of a service if it still has a revision. */
fun interface StatusWrite {
    /** Starts the write; [onReply] gets its reply. */
    fun write(service: String, status: RolloutStatus, revision: Long, onReply: (StoreReply<Unit>) -> Unit)
}

/**
 * Writes the status of rollouts, each at the revision that was read last, so that of several writes at most one takes
 * effect. After a reply, the object is read before the next write.
 *
 * @param read starts to read the orders.
 * @param onReply called with each reply.
 */
internal class RolloutStatusWriter(
    private val clock: MonotonicClock,
    private val write: StatusWrite,
    private val read: () -> Unit,
    private val onReply: (RolloutProgress, RolloutStatus, StoreReply<Unit>) -> Unit,
) {
    private val writing = HashSet<String>()
    private val writtenRevision = HashMap<String, Long>()
    private val nextAt = HashMap<String, Duration>()
    private var failures = 0
    private var failedAt = -Duration.INFINITE

    /** Whether the latest writes have failed, so that another daemon should write. */
    val isFailing: Boolean get() = failures >= MIN_FAILURES && clock.now() - failedAt < FAILURE_MEMORY

    /** Writes [outcome] for [rollout] unless it is written already, a write is under way or the last one is recent. */
    fun request(rollout: RolloutProgress, outcome: RolloutOutcome) {
        val order = rollout.order
        val isDone = order.finalOutcome != null || order.ownStatus?.outcome == outcome
        val now = clock.now()
        if (isDone || order.service in writing || now < (nextAt[order.service] ?: Duration.ZERO)) return
        nextAt[order.service] = now + RETRY_PERIOD
        if (writtenRevision[order.service] == rollout.revision) {
            // The written status has not been read back yet.
            read()
        } else {
            start(rollout, RolloutStatus(outcome, order.to), rollout.revision)
        }
    }

    private fun start(rollout: RolloutProgress, status: RolloutStatus, revision: Long) {
        val service = rollout.order.service
        writing.add(service)
        write.write(service, status, revision) { reply ->
            writing.remove(service)
            if (reply is StoreReply.Success) writtenRevision[service] = revision
            recordReply(reply)
            onReply(rollout, status, reply)
            read()
        }
    }

    private fun recordReply(reply: StoreReply<Unit>) {
        val isFailure = reply is StoreReply.Unknown || reply is StoreReply.Refused
        failures = if (isFailure) failures + 1 else 0
        if (isFailure) failedAt = clock.now()
    }

    private companion object {
        /** One reply may be lost by chance. */
        const val MIN_FAILURES = 2

        /** Time after which a daemon whose writes failed may coordinate again. */
        val FAILURE_MEMORY = 5.seconds
        val RETRY_PERIOD = 300.milliseconds
    }
}
