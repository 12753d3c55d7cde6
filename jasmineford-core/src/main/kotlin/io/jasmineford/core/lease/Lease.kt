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

/**
 * Owner of one shard.
 *
 * @property journals ids of the journals that hold the shard's programs, oldest first. A new owner replays them,
 *   writes checkpoints to its own and leaves only that one in the list; it serves the shard only after that.
 * @property isReleased true when the owner before handed the shard over, so that its journal needs no seal.
 */
@Serializable
data class ShardOwner(
    val vm: String,
    val incarnation: Long,
    val epoch: Long,
    val journals: List<String> = emptyList(),
    val isReleased: Boolean = false,
)

/** Value of the shard map object. [shards] has one entry a shard. */
@Serializable
data class ShardMap(
    val epoch: Long = 0,
    val shards: List<ShardOwner> = emptyList(),
)

/** Id of the journal of one incarnation of a VM. */
fun journalId(vm: String, incarnation: Long): String = "$vm-$incarnation"
