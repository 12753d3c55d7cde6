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
 * The right of this VM to write the head: its lease is valid, and each other VM that may still serve has acknowledged this
 * VM. Otherwise a VM could prove without the store that nobody published, while this VM did.
 *
 * @param isLeaseValid whether this VM's own lease is valid now.
 * @param patience how long a publication waits for the right; a dead VM's lease is revoked in less.
 */
class PublishingRight(
    private val control: CoroutineDispatcher,
    private val store: ObjectStore,
    private val sync: ConfigurationSync,
    private val exchange: ViewExchange,
    val isLeaseValid: () -> Boolean,
    private val patience: Duration = 8.seconds,
) {
    /** Waits for the right. Returns null once it is there, otherwise one line that says what is missing. */
    suspend fun acquire(): String? = withContext(control) {
        var problem = missing()
        withTimeoutOrNull(patience) {
            while (problem != null) {
                delay(RETRY)
                problem = missing()
            }
        }
        problem
    }

    /** Begins a write of the head, if the lease is still valid. */
    suspend fun begin(): Boolean = withContext(control) { isLeaseValid().also { if (it) sync.onWriteStarted() } }

    /** Ends a write of the head; [accepted] is the head that took effect, or null when another one did. */
    suspend fun end(accepted: ConfigurationHead?, perform: (List<SyncAction>) -> Unit) =
        withContext(control) { perform(sync.onWriteEnded(accepted)) }

    private suspend fun missing(): String? {
        if (!isLeaseValid() || !sync.members.isSelfListed) return "this VM has no valid lease yet"
        return readLeases(store).fold(
            success = { leases ->
                // A list that shows the own lease shows every VM that doesn't see it in its own first list.
                val own = sync.members.incarnation()
                if (leases.none { it.identity.vm == sync.vm && it.incarnation == own }) return "the own lease is not listed yet"
                val gone = goneVms(leases.filter { it.isRevoked }.map { it.identity.vm })
                val others = leases.filter { it.identity.vm !in gone }.map { it.toMember() }
                introduce(others)
                val silent = sync.members.unacknowledged(others).map { it.vm }.sorted()
                if (silent.isEmpty()) null else "not acknowledged by ${silent.joinToString()}; publish on a VM that they know"
            },
            failure = { it.describe() },
        )
    }

    private suspend fun introduce(others: List<FleetMember>) = coroutineScope {
        sync.members.unacknowledged(others).map { member ->
            async {
                val action = sync.exchange(member)
                sync.onReply(action, withTimeoutOrNull(REPLY_LIMIT) { exchange(member, action.view) })
            }
        }.awaitAll()
    }

    /** VMs with a revoked lease that the platform no longer lists: their processes have ended. */
    private suspend fun goneVms(revoked: List<String>): Set<String> {
        if (revoked.isEmpty()) return emptySet()
        return store.vms().fold(
            success = { rows -> revoked.toSet() - rows.map { it.name }.toSet() },
            failure = { emptySet() },
        )
    }

    private companion object {
        val RETRY = 200.milliseconds
        val REPLY_LIMIT = 1.seconds
    }
}
