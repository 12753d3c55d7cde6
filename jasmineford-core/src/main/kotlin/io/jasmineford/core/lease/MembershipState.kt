package io.jasmineford.core.lease

import io.jasmineford.store.ABSENT_VERSION
import kotlin.time.Duration

/**
 * Complete state of [Membership]. Immutable, so that a test can fork any state. All times are on this VM's clock.
 *
 * @property incarnationSince start of [own]'s incarnation.
 * @property isSuperseded whether a newer process of this VM holds the lease, which permanently fences this process.
 * @property leaseValidUntil expiry of the lease by its last renewal.
 * @property readSentAt when the read in flight was sent; null when there is none.
 * @property lastRead time of the last successful read.
 * @property missingSince when a holder in the map was first seen without its lease.
 * @property expiredHolders holders without a lease for long enough to have expired. They stay expired.
 * @property revokedHolders holders whose lease was seen revoked. They stay revoked.
 * @property unlistedSince when a VM was first missing from the platform's VM list.
 * @property mapWrite write of the map without a definite reply. It is sent again until there is one, since a write
 *   without a reply may still take effect.
 * @property revocation revocation of a lease without a definite reply, handled like [mapWrite].
 * @property replayed own shards whose programs are all in the own journal, though the map does not record it yet.
 * @property promises holders whose lease this VM must not revoke, with the expiry of each promise.
 * @property promisedUntil expiry of the extension that the promises of all other members gave.
 * @property lastPoll time of the last poll; a long gap means that the process was paused.
 * @property pausedAt end of the last pause after which no renewal has succeeded yet.
 */
internal data class MembershipState(
    val own: Lease,
    val incarnationSince: Duration,
    val isSuperseded: Boolean = false,
    val ownVersion: Long = ABSENT_VERSION,
    val leaseValidUntil: Duration = Duration.ZERO,
    val nextRenewal: Duration = Duration.ZERO,
    val nextRead: Duration = Duration.ZERO,
    val nextVmList: Duration = Duration.ZERO,
    val leaseWrite: PendingLeaseWrite? = null,
    val mapWrite: PendingWrite<MembershipAction.WriteMap>? = null,
    val revocation: PendingWrite<MembershipAction.Revoke>? = null,
    val removal: MembershipAction.RemoveLease? = null,
    val readSentAt: Duration? = null,
    val lastRead: Duration = Duration.ZERO,
    val isReadingVms: Boolean = false,
    val observedLeases: Map<String, ObservedLease> = emptyMap(),
    val missingSince: Map<LeaseHolder, Duration> = emptyMap(),
    val expiredHolders: Set<LeaseHolder> = emptySet(),
    val revokedHolders: Set<LeaseHolder> = emptySet(),
    val unlistedSince: Map<String, Duration> = emptyMap(),
    val map: ShardMap = ShardMap(),
    val mapVersion: Long = ABSENT_VERSION,
    val replayed: Set<Int> = emptySet(),
    val promises: Map<LeaseHolder, Duration> = emptyMap(),
    val promisedUntil: Duration = Duration.ZERO,
    val round: PromiseRound? = null,
    val nextRound: Duration = Duration.ZERO,
    val lastPoll: Duration,
    val pausedAt: Duration? = null,
) {
    val self: String get() = own.identity.vm
}

/** A lease as read from the store, unchanged [since] a time on this VM's clock. */
internal data class ObservedLease(val lease: Lease, val version: Long, val since: Duration)

/** A renewal without a definite reply, first sent at [sentAt] and sent [attempts] times so far. */
internal data class PendingLeaseWrite(
    val action: MembershipAction.WriteLease,
    val sentAt: Duration,
    val attempts: Int,
)

/** A write without a definite reply; [resendAt] is null while it is in flight. */
internal data class PendingWrite<T>(val action: T, val resendAt: Duration? = null)

/**
 * One round of requests for promises to all other members. Promises count from [requestedAt], before the first was
 * sent.
 */
internal data class PromiseRound(
    val number: Long,
    val requestedAt: Duration,
    val mapEpoch: Long,
    val incarnation: Long,
    val outstanding: Set<LeaseHolder>,
)
