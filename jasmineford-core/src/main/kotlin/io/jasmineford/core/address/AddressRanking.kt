package io.jasmineford.core.address

import com.google.common.hash.Hashing
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.config.isOut
import io.jasmineford.core.lease.Lease
import kotlinx.serialization.Serializable
import kotlin.math.ln

/** Addresses of entry VMs for a caller, in order of preference, with the time for which the answer may be cached. */
@Serializable
data class AddressAnswer(
    val addresses: List<String>,
    val validForSeconds: Long,
)

/**
 * Attributes of a caller that asks for addresses.
 *
 * @property account account of the caller's key; null without a known key.
 * @property program the caller's program, or null.
 * @property owner VM that owns the program's shard, or null.
 * @property zone the caller's availability zone, or null.
 * @property salt value that differs between requests, so that callers without a program are spread over the VMs.
 */
data class AddressQuery(
    val account: ScopedName? = null,
    val program: String? = null,
    val owner: String? = null,
    val zone: String? = null,
    val salt: Long = 0,
)

/**
 * Whether callers may be sent to the VM of [lease]: its lease is valid, it is not stopping and is not out of service.
 */
fun ServiceState.isInService(lease: Lease): Boolean {
    return !lease.isRevoked && !lease.isLeaving && !isOut(lease.identity.vm, lease.identity.zone)
}

/**
 * The VMs in service in order of preference: the owner of the program, then VMs of the caller's zone, then the others.
 * Within a group the order is that of weighted rendezvous hashing: each VM is first for a share of the callers
 * proportional to its weight, and the removal of a VM does not reorder the others. A group is ranked only when the
 * sequence reaches it.
 */
fun rankVms(
    leases: Collection<Lease>,
    state: ServiceState,
    query: AddressQuery,
    weightOf: (Lease) -> Double = { 1.0 },
): Sequence<Lease> = sequence {
    val caller = "${query.account} ${query.program ?: query.salt}"
    fun ranked(group: List<Lease>) = group
        .map { it to score(caller, it.identity.vm, weightOf(it)) }
        .sortedByDescending { it.second }
        .map { it.first }
    val (owner, others) = leases.filter { state.isInService(it) }.partition { it.identity.vm == query.owner }
    val (sameZone, otherZones) = others.partition { it.identity.zone == query.zone }
    yieldAll(owner)
    yieldAll(ranked(sameZone))
    yieldAll(ranked(otherZones))
}

/** Weighted rendezvous score (Schindelhauer and Schomaker, 2005): -weight / ln(hash in (0, 1)). */
private fun score(caller: String, vm: String, weight: Double): Double {
    val hash = Hashing.murmur3_128().newHasher()
        .putUnencodedChars(caller).putChar('\n').putUnencodedChars(vm).hash().asLong()
    val unit = ((hash ushr UNUSED_BITS) + HALF) / RANGE
    return -weight / ln(unit)
}

/** The hash is reduced to the 53 bits that a double represents exactly. */
private const val UNUSED_BITS = 11
private const val RANGE = 9_007_199_254_740_992.0
private const val HALF = 0.5
