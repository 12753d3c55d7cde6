package io.jasmineford.core.lease

import io.jasmineford.store.StoredObject

/** A store call that the membership state machine asks its driver to make. The reply goes back with the same action. */
sealed interface MembershipAction {
    /** Conditional write of this VM's own lease. */
    data class WriteLease(
        val lease: Lease,
        val expectedVersion: Long,
        val nonce: String,
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
}

/** Reply to [MembershipAction.ReadAll]: the raw objects. */
data class MembershipView(
    val leases: List<StoredObject>,
    val map: StoredObject?,
)
