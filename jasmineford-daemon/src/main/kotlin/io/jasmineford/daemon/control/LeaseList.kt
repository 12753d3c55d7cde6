package io.jasmineford.daemon.control

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.lease.LEASE_PREFIX
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError

/** Reads all leases, revoked ones included. */
internal suspend fun readLeases(store: ObjectStore): Result<List<Lease>, StoreError> {
    val leases = mutableListOf<Lease>()
    var token: String? = null
    do {
        val page = store.list(LEASE_PREFIX, continueToken = token).getOrElse { return Err(it) }
        page.objects.mapTo(leases) { leaseJson.decodeFromString<Lease>(it.value) }
        token = page.continueToken
    } while (token != null)
    return Ok(leases)
}

/** The VM and incarnation of this lease as a member of the fleet. */
internal fun Lease.toMember(): FleetMember =
    FleetMember(identity.vm, identity.zone, identity.peerAddress, incarnation)
