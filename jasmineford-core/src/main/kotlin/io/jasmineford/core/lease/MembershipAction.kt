package io.jasmineford.core.lease

import io.jasmineford.store.StoredObject
import kotlin.time.Duration

/**
 * A store or peer call that [Membership] requests from its driver. The driver returns the reply with the same action.
 */
sealed interface MembershipAction {
    /**
     * Conditional write of this VM's own lease.
     *
     * @property relayAddress peer address of the VM that relays the write when direct attempts got no reply; null for a
     *   direct write.
     */
    data class WriteLease(
        val lease: Lease,
        val expectedVersion: Long,
        val nonce: String,
        val relayAddress: String? = null,
    ) : MembershipAction

    /** Read of all leases and of the shard map. */
    data object ReadAll : MembershipAction

    /** Conditional write that marks another VM's lease as revoked. */
    data class Revoke(
        val lease: Lease,
        val expectedVersion: Long,
        val nonce: String,
    ) : MembershipAction

    /** Conditional write of the shard map. */
    data class WriteMap(
        val map: ShardMap,
        val expectedVersion: Long,
        val nonce: String,
    ) : MembershipAction

    /** Conditional deletion of the lease of a deleted VM. */
    data class RemoveLease(
        val vm: String,
        val expectedVersion: Long,
    ) : MembershipAction

    /** Read of the platform's VM list. */
    data object ReadVms : MembershipAction

    /** Request to [member] at [peerAddress] for a promise not to revoke. */
    data class RequestPromise(
        val member: LeaseHolder,
        val peerAddress: String,
        val request: PromiseRequest,
        val round: Long,
    ) : MembershipAction
}

/**
 * Request for a promise not to revoke the lease of [holder] for [interval].
 *
 * @property member the incarnation that is asked; another incarnation of its VM cannot promise in its place.
 * @property mapEpoch epoch of the newest map that [holder] knows; all members of that map are asked.
 */
data class PromiseRequest(
    val holder: LeaseHolder,
    val member: LeaseHolder,
    val mapEpoch: Long,
    val interval: Duration,
)

/** Reply to [MembershipAction.ReadAll]: the stored objects, not yet decoded. */
data class MembershipView(
    val leases: List<StoredObject>,
    val map: StoredObject?,
)
