package io.jasmineford.core.lease

import io.jasmineford.store.StoredObject
import kotlin.time.Duration

/** A store call that the membership state machine asks its driver to make. The reply goes back with the same action. */
sealed interface MembershipAction {
    /**
     * Conditional write of this VM's own lease.
     *
     * @property through peer address of a VM that should make the write, after this VM got no reply itself.
     */
    data class WriteLease(
        val lease: Lease,
        val expectedVersion: Long,
        val nonce: String,
        val through: String? = null,
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

    /** Conditional removal of the lease of a VM that is gone for good. */
    data class RemoveLease(
        val vm: String,
        val expectedVersion: Long,
    ) : MembershipAction

    /** Read of the platform's VM list. */
    data object ReadVms : MembershipAction

    /** Request to [member] at [peerAddress] for a promise not to revoke. */
    data class AskPromise(
        val member: LeaseHolder,
        val peerAddress: String,
        val request: PromiseRequest,
        val round: Long,
    ) : MembershipAction
}

/**
 * Request for a promise not to revoke the rights of [holder] for [interval].
 *
 * @property mapEpoch epoch of the newest map that [holder] knows; all members of that map are asked.
 * @property member the incarnation that is asked; another incarnation of its VM can't promise in its place.
 */
data class PromiseRequest(
    val holder: LeaseHolder,
    val member: LeaseHolder,
    val mapEpoch: Long,
    val interval: Duration,
)

/** Reply to [MembershipAction.ReadAll]: the raw objects. */
data class MembershipView(
    val leases: List<StoredObject>,
    val map: StoredObject?,
)
