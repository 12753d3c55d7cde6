package io.jasmineford.core.lease

import kotlinx.serialization.Serializable

/** Key prefix of lease objects. */
const val LEASE_PREFIX: String = "leases/"

/** Key of the shard map object. */
const val SHARD_MAP_KEY: String = "shardmap"

fun leaseKey(vm: String): String = LEASE_PREFIX + vm

/**
 * Addresses and availability zone of one entry VM.
 *
 * @property callerAddress host and port for callers.
 * @property peerAddress host and port for other daemons.
 * @property operatorAddress host and port for operators.
 */
@Serializable
data class VmIdentity(
    val vm: String,
    val zone: String,
    val callerAddress: String,
    val peerAddress: String,
    val operatorAddress: String,
)

/**
 * Value of a lease object.
 *
 * @property incarnation fencing number, unique for the VM; changes on each process start and after each fencing.
 * @property renewal number of renewals, which makes each renewal change the object.
 * @property isRevoked set by another VM before a takeover; the holder can no longer renew.
 * @property isLeaving set by the holder during a planned shutdown.
 */
@Serializable
data class Lease(
    val identity: VmIdentity,
    val incarnation: Long,
    val renewal: Long,
    val isRevoked: Boolean = false,
    val isLeaving: Boolean = false,
)

/** One incarnation of a VM, identified as a lease holder. */
@Serializable
data class LeaseHolder(
    val vm: String,
    val incarnation: Long,
)

val Lease.holder: LeaseHolder get() = LeaseHolder(identity.vm, incarnation)

/**
 * Owner of one shard.
 *
 * @property journals ids of the journals that hold the shard's programs, oldest first. A new owner replays them,
 *   writes checkpoints to its own journal and reduces the list to that one before it serves the shard.
 * @property isReleased true when the previous owner handed the shard over, so that its journal needs no seal.
 * @property withheldFor former owners that lost the shard without a hand-over and may still lend out their fallback
 *   share of each token bucket. This owner leaves one such share unused for each of them.
 */
@Serializable
data class ShardOwner(
    val vm: String,
    val incarnation: Long,
    val epoch: Long,
    val journals: List<String> = emptyList(),
    val isReleased: Boolean = false,
    val withheldFor: List<LeaseHolder> = emptyList(),
)

val ShardOwner.holder: LeaseHolder get() = LeaseHolder(vm, incarnation)

/**
 * Value of the shard map object.
 *
 * @property shards one entry per shard, by shard number.
 * @property members incarnations that may revoke leases and reassign shards. A VM that cannot renew its lease keeps
 *   ownership while all members promise not to revoke it. Only a member may add members, and not while bound by such a
 *   promise.
 */
@Serializable
data class ShardMap(
    val epoch: Long = 0,
    val shards: List<ShardOwner> = emptyList(),
    val members: Set<LeaseHolder> = emptySet(),
)

/** Id of the journal of one incarnation of a VM. */
fun journalId(vm: String, incarnation: Long): String = "$vm-$incarnation"
