package io.jasmineford.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.address.AddressAnswer
import io.jasmineford.core.address.AddressQuery
import io.jasmineford.core.address.PeerLiveness
import io.jasmineford.core.address.rankVms
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.key.digestOfKey
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.protocol.ProbeReply
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withContext
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Answers which entry VMs a caller should use. Each VM is probed before it is named, unless a recent probe result
 * exists.
 *
 * @param shardOwnerOf returns the VM that owns the shard of a program, or null.
 * @param probe probes the daemon at a peer address; null when it doesn't reply.
 * @param validFor how long a caller may use an answer.
 */
internal class AddressService(
    private val self: String,
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val membership: () -> Membership,
    private val shardOwnerOf: (account: ScopedName, program: String) -> String?,
    private val probe: suspend (peerAddress: String) -> ProbeReply?,
    private val validFor: Duration = 10.seconds,
) {
    private val liveness = PeerLiveness(clock)

    /** Returns entry VMs for the caller with [key]. VMs that are out of service, leaving or dead are left out. */
    suspend fun answer(key: String?, program: String?, zone: String?): Result<AddressAnswer, Refusal> {
        val ranked = withContext(control) {
            // An outdated configuration could name a VM or an availability zone that operators have taken out of
            // service.
            if (configuration.isProvedCurrent()) rank(key, program, zone) else null
        } ?: return Err(Refusal(Reason.CONFIGURATION_TOO_OLD, "this VM can't determine which VMs are in service"))
        val named = mutableListOf<Lease>()
        for (group in ranked.chunked(MAX_NAMED_VMS)) {
            named += onlyAccepting(group)
            if (named.size >= MAX_NAMED_VMS) break
        }
        return Ok(AddressAnswer(named.take(MAX_NAMED_VMS).map { it.identity.callerAddress }, validFor.inWholeSeconds))
    }

    private fun rank(key: String?, program: String?, zone: String?): Sequence<Lease> {
        val account = key?.let { configuration.current.accountOf(digestOfKey(it)) }
        val shardOwner = if (account != null && program != null) shardOwnerOf(account, program) else null
        val query = AddressQuery(account, program, shardOwner, zone, salt = Random.nextLong())
        val leases = membership().leases()
        liveness.retain(leases.keys)
        return rankVms(leases.values, configuration.current.serviceState, query)
    }

    private suspend fun onlyAccepting(group: List<Lease>): List<Lease> = coroutineScope {
        group.map { lease -> async { lease.takeIf { acceptsCalls(it) } } }.awaitAll().filterNotNull()
    }

    private suspend fun acceptsCalls(lease: Lease): Boolean {
        val vm = lease.identity.vm
        if (vm == self) return true
        withContext(control) { liveness.acceptsCalls(vm) }?.let { return it }
        val askedAt = clock.now()
        val reply = probe(lease.identity.peerAddress)
        val isAccepting = reply != null && reply.vm == vm && !reply.leaving
        withContext(control) { liveness.record(vm, askedAt, isAccepting) }
        return isAccepting
    }

    private companion object {
        /** Lets a caller try other VMs when the first one fails. More would cost a probe each. */
        const val MAX_NAMED_VMS = 3
    }
}
