package io.jasmineford.daemon.control

import com.github.michaelbull.result.fold
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ConfigurationSync
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.SyncAction
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.describe
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Right of this VM to write the head. It requires that the VM's lease is valid and that every other VM that may still
 * serve calls has acknowledged this VM. Without the acknowledgement, another VM could conclude from its peers alone
 * that nobody has published while this VM did.
 *
 * @param isLeaseValid whether this VM's own lease is valid now.
 * @param timeout how long a publication waits for the right; longer than it takes to revoke the lease of a dead VM.
 */
class PublishingRight(
    private val control: CoroutineDispatcher,
    private val store: ObjectStore,
    private val sync: ConfigurationSync,
    private val exchange: ViewExchange,
    val isLeaseValid: () -> Boolean,
    private val timeout: Duration = 8.seconds,
) {
    /**
     * Waits for the right. Returns null once this VM has it, or one line that says what is missing when the wait times
     * out.
     */
    suspend fun acquire(): String? = withContext(control) {
        var problem = missingRequirement()
        withTimeoutOrNull(timeout) {
            while (problem != null) {
                delay(RETRY_INTERVAL)
                problem = missingRequirement()
            }
        }
        problem
    }

    /** Begins a write of the head; false when the lease is no longer valid. */
    suspend fun begin(): Boolean = withContext(control) { isLeaseValid().also { if (it) sync.onWriteStarted() } }

    /** Ends a write of the head; [accepted] is the head now in force, or null when this write had no effect. */
    suspend fun end(accepted: ConfigurationHead?, perform: (List<SyncAction>) -> Unit) =
        withContext(control) { perform(sync.onWriteEnded(accepted)) }

    private suspend fun missingRequirement(): String? {
        if (!isLeaseValid() || !sync.members.isSelfListed) return "this VM has no valid lease yet"
        return readLeases(store).fold(
            success = { leases ->
                // Once the list contains this VM's lease, every VM that is missing from it will see this VM in its own
                // first list.
                val own = sync.members.incarnation()
                val isSelfListed = leases.any { it.identity.vm == sync.vm && it.incarnation == own }
                if (!isSelfListed) return "this VM's lease is not listed yet"
                val terminated = terminatedVms(leases.filter { it.isRevoked }.map { it.identity.vm })
                val others = leases.filter { it.identity.vm !in terminated }.map { it.toMember() }
                exchangeViewsWith(others)
                val unacknowledged = sync.members.unacknowledged(others).map { it.vm }.sorted()
                if (unacknowledged.isEmpty()) {
                    null
                } else {
                    "not acknowledged by ${unacknowledged.joinToString()}; publish on a VM that they have acknowledged"
                }
            },
            failure = { it.describe() },
        )
    }

    private suspend fun exchangeViewsWith(others: List<FleetMember>) = coroutineScope {
        sync.members.unacknowledged(others).map { member ->
            async {
                val action = sync.exchange(member)
                sync.onReply(action, withTimeoutOrNull(EXCHANGE_TIMEOUT) { exchange(member, action.view) })
            }
        }.awaitAll()
    }

    /** Those of the [revoked] VMs that the platform no longer lists: their processes have ended. */
    private suspend fun terminatedVms(revoked: List<String>): Set<String> {
        if (revoked.isEmpty()) return emptySet()
        return store.vms().fold(
            success = { rows -> revoked.toSet() - rows.map { it.name }.toSet() },
            failure = { emptySet() },
        )
    }

    private companion object {
        val RETRY_INTERVAL = 200.milliseconds
        val EXCHANGE_TIMEOUT = 1.seconds
    }
}
