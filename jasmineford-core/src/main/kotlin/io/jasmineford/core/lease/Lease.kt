package io.jasmineford.core.lease

import kotlinx.serialization.Serializable

/** Prefix of lease objects. */
const val LEASE_PREFIX: String = "leases/"

/** Key of the shard map object. */
const val SHARD_MAP_KEY: String = "shardmap"

/** Key of the lease of [vm]. */
fun leaseKey(vm: String): String = LEASE_PREFIX + vm

/**
 * Addresses and place of one entry VM.
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
 * @property incarnation chosen anew each time the process starts or was fenced; unique for the VM.
 * @property renewal count of renewals, so that each renewal changes the object.
 * @property isRevoked set by another VM before it takes over; the holder can't renew any more.
 * @property isLeaving set by the holder when it stops by plan.
 */
@Serializable
data class Lease(
    val identity: VmIdentity,
    val incarnation: Long,
    val renewal: Long,
    val isRevoked: Boolean = false,
    val isLeaving: Boolean = false,
)

/** One incarnation of a VM, as the holder of rights. */
@Serializable
data class LeaseHolder(
    val vm: String,
    val incarnation: Long,
)

/** The incarnation that this lease belongs to. */
val Lease.holder: LeaseHolder get() = LeaseHolder(identity.vm, incarnation)

/**
 * Owner of one shard.
 *
 * @property journals ids of the journals that hold the shard's programs, oldest first. A new owner replays them,
 *   writes checkpoints to its own and leaves only that one in the list; it serves the shard only after that.
 * @property isReleased true when the owner before handed the shard over, so that its journal needs no seal.
 * @property withheldFor former owners that lost the shard without handing it over and may still give out their fallback
 *   share of each bucket. This owner leaves one such share unused for each of them.
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

/** The incarnation that owns the shard. */
val ShardOwner.holder: LeaseHolder get() = LeaseHolder(vm, incarnation)

/**
 * Value of the shard map object.
 *
 * @property shards one entry a shard.
 * @property members incarnations that may revoke leases and give shards away. A VM that can't renew its lease goes on
 *   when all of them promise not to revoke it, so only a member adds members, and not while it promised.
 */
@Serializable
data class ShardMap(
    val epoch: Long = 0,
    val shards: List<ShardOwner> = emptyList(),
    val members: Set<LeaseHolder> = emptySet(),
)

/** Id of the journal of one incarnation of a VM. */
fun journalId(vm: String, incarnation: Long): String = "$vm-$incarnation"
