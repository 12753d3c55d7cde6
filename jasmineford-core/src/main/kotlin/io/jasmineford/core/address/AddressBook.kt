package io.jasmineford.core.address

import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.lease.Lease
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Entry VMs that a caller should use, best first, and how long the answer holds. */
@Serializable
data class AddressAnswer(
    val addresses: List<String>,
    val validForSeconds: Long,
)

/**
 * Chooses entry VMs for a caller.
 *
 * @param leases the VMs that are known to be alive.
 * @param preferred VM that keeps the caller's program, or null.
 * @param zone the caller's zone, or null.
 */
fun chooseAddresses(
    leases: Collection<Lease>,
    state: ServiceState,
    preferred: String? = null,
    zone: String? = null,
    validFor: Duration = 10.seconds,
): AddressAnswer {
    val usable = leases.filter {
        val identity = it.identity
        !it.isRevoked && !it.isLeaving && identity.vm !in state.vmsOut && identity.zone !in state.zonesOut
    }
    val sorted = usable.sortedWith(
        compareBy({ it.identity.vm != preferred }, { it.identity.zone != zone }, { it.identity.vm }),
    )
    return AddressAnswer(sorted.map { it.identity.callerAddress }, validFor.inWholeSeconds)
}
