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
 * Answers which entry VMs a caller should use. VMs are probed just before they are named, unless a fresh result is there.
 *
 * @param keeperOf VM that keeps a program, or null.
 * @param probe asks the daemon at a peer address; null when it doesn't reply.
 */
internal class AddressService(
    private val self: String,
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val membership: () -> Membership,
    private val keeperOf: (account: ScopedName, program: String) -> String?,
    private val probe: suspend (peerAddress: String) -> ProbeReply?,
    private val validFor: Duration = 10.seconds,
) {
    private val liveness = PeerLiveness(clock)

    /** Entry VMs for the caller with [key]; none of them is out of service, leaving or dead. */
    suspend fun answer(key: String?, program: String?, zone: String?): Result<AddressAnswer, Refusal> {
        val ranked = withContext(control) {
            // An older configuration might name a VM or a zone that operators have taken out.
            if (configuration.isProvedCurrent()) rank(key, program, zone) else null
        } ?: return Err(Refusal(Reason.CONFIGURATION_TOO_OLD, "this VM can't tell which VMs are in service"))
        val named = mutableListOf<Lease>()
        for (group in ranked.chunked(NAMED_VMS)) {
            named += takingWork(group)
            if (named.size >= NAMED_VMS) break
        }
        return Ok(AddressAnswer(named.take(NAMED_VMS).map { it.identity.callerAddress }, validFor.inWholeSeconds))
    }

    private fun rank(key: String?, program: String?, zone: String?): Sequence<Lease> {
        val account = key?.let { configuration.current.accountOf(digestOfKey(it)) }
        val keeper = if (account != null && program != null) keeperOf(account, program) else null
        val query = AddressQuery(account, program, keeper, zone, salt = Random.nextLong())
        val leases = membership().leases()
        liveness.retain(leases.keys)
        return rankVms(leases.values, configuration.current.serviceState, query)
    }

    private suspend fun takingWork(group: List<Lease>): List<Lease> = coroutineScope {
        group.map { lease -> async { lease.takeIf { takesWork(it) } } }.awaitAll().filterNotNull()
    }

    private suspend fun takesWork(lease: Lease): Boolean {
        val vm = lease.identity.vm
        if (vm == self) return true
        withContext(control) { liveness.acceptsCalls(vm) }?.let { return it }
        val askedAt = clock.now()
        val reply = probe(lease.identity.peerAddress)
        val takesWork = reply != null && reply.vm == vm && !reply.leaving
        withContext(control) { liveness.record(vm, askedAt, takesWork) }
        return takesWork
    }

    private companion object {
        /** Enough for a caller to try others when the first one dies; each named VM costs a probe. */
        const val NAMED_VMS = 3
    }
}
