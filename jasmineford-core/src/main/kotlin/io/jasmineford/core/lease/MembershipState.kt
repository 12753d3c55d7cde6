package io.jasmineford.core.lease

import io.jasmineford.store.ABSENT_VERSION
import kotlin.time.Duration

/**
 * Everything that [Membership] knows. Immutable, so that a test can branch from any state.
 *
 * @property incarnationSince start of [own]'s incarnation.
 * @property isSuperseded a newer process of the same VM holds the lease; this one has no rights for good.
 * @property leaseUntil end of the right that the last renewal gave.
 * @property readSentAt when the read in flight was sent; null when there is none.
 * @property lastRead time of the last successful read.
 * @property missingSince time at which a holder named in the map was first seen without its lease.
 * @property replaced holders without a lease for so long that their rights have ended. Permanent.
 * @property revoked holders whose lease was seen revoked. Permanent.
 * @property unlistedSince time since which a VM is missing from the platform's VM list.
 * @property mapWrite write of the map that has no definite reply yet. It is sent again until it has one, since a write
 *   without a reply may still take effect.
 * @property revocation like [mapWrite].
 * @property replayed own shards whose programs are in the own journal, though the map does not say so yet.
 * @property promises holders that this VM must not revoke, with the end of the promise.
 * @property promisedUntil end of the right that the promises of all other members gave.
 * @property lastPoll time of the last poll; a long gap means that the process was paused.
 * @property pausedAt end of the last pause after which no store call succeeded yet.
 */
internal data class MembershipState(
    val own: Lease,
    val incarnationSince: Duration,
    val isSuperseded: Boolean = false,
    val ownVersion: Long = ABSENT_VERSION,
    val leaseUntil: Duration = Duration.ZERO,
    val nextRenewal: Duration = Duration.ZERO,
    val nextRead: Duration = Duration.ZERO,
    val nextVmList: Duration = Duration.ZERO,
    val leaseWrite: PendingLease? = null,
    val mapWrite: PendingWrite<MembershipAction.WriteMap>? = null,
    val revocation: PendingWrite<MembershipAction.Revoke>? = null,
    val removal: MembershipAction.RemoveLease? = null,
    val readSentAt: Duration? = null,
    val lastRead: Duration = Duration.ZERO,
    val isReadingVms: Boolean = false,
    val sightings: Map<String, Sighting> = emptyMap(),
    val missingSince: Map<LeaseHolder, Duration> = emptyMap(),
    val replaced: Set<LeaseHolder> = emptySet(),
    val revoked: Set<LeaseHolder> = emptySet(),
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
internal data class Sighting(val lease: Lease, val version: Long, val since: Duration)

/** A renewal without a definite reply, first sent at [sentAt], sent [attempts] times. */
internal data class PendingLease(
    val action: MembershipAction.WriteLease,
    val sentAt: Duration,
    val attempts: Int,
)

/** A write without a definite reply; [resendAt] is null while a reply may still come. */
internal data class PendingWrite<T>(val action: T, val resendAt: Duration? = null)

/** One round of requests for promises, counted from [askedAt], before the first was sent. */
internal data class PromiseRound(
    val number: Long,
    val askedAt: Duration,
    val mapEpoch: Long,
    val incarnation: Long,
    val missing: Set<LeaseHolder>,
)
