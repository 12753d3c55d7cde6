package io.jasmineford.core.address

import com.google.common.hash.Hashing
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.config.isOut
import io.jasmineford.core.lease.Lease
import kotlinx.serialization.Serializable
import kotlin.math.ln

/** Entry VMs that a caller should use, best first, and how long the answer holds. */
@Serializable
data class AddressAnswer(
    val addresses: List<String>,
    val validForSeconds: Long,
)

/**
 * Who asks for addresses.
 *
 * @property account account of the caller's key; null without a known key.
 * @property program the caller's program, or null.
 * @property keeper VM that keeps the program, or null.
 * @property zone the caller's zone, or null.
 * @property salt differs from request to request, so that callers without a program spread over the VMs.
 */
data class AddressQuery(
    val account: ScopedName? = null,
    val program: String? = null,
    val keeper: String? = null,
    val zone: String? = null,
    val salt: Long = 0,
)

/** Whether callers may be sent to the VM of [lease]. */
fun ServiceState.isInService(lease: Lease): Boolean {
    return !lease.isRevoked && !lease.isLeaving && !isOut(lease.identity.vm, lease.identity.zone)
}

/**
 * The VMs in service, best first: the keeper of the program, then VMs of the caller's zone, then the others. Among equals
 * the order is weighted rendezvous hashing, so each VM comes first for a part of the callers that is proportional to its
 * weight, and a VM that leaves changes the order of no others.
 */
fun rankVms(
    leases: Collection<Lease>,
    state: ServiceState,
    query: AddressQuery,
    weightOf: (Lease) -> Double = { 1.0 },
): List<Lease> {
    val caller = "${query.account} ${query.program ?: query.salt}"
    return leases.filter { state.isInService(it) }.sortedWith(
        compareBy(
            { it.identity.vm != query.keeper },
            { it.identity.zone != query.zone },
            { -score(caller, it.identity.vm, weightOf(it)) },
        ),
    )
}

/** Weighted rendezvous score (Schindelhauer and Schomaker, 2005): -weight / ln(hash in (0, 1)). */
private fun score(caller: String, vm: String, weight: Double): Double {
    val hash = Hashing.murmur3_128().newHasher()
        .putUnencodedChars(caller).putChar('\n').putUnencodedChars(vm).hash().asLong()
    val unit = ((hash ushr UNUSED_BITS) + HALF) / RANGE
    return -weight / ln(unit)
}

/** A double holds 53 bits exactly. */
private const val UNUSED_BITS = 11
private const val RANGE = 9_007_199_254_740_992.0
private const val HALF = 0.5
