package io.jasmineford.daemon.control

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.map
import io.jasmineford.core.lease.LEASE_PREFIX
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.MembershipAction
import io.jasmineford.core.lease.MembershipView
import io.jasmineford.core.lease.PromiseRequest
import io.jasmineford.core.lease.SHARD_MAP_KEY
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.core.lease.leaseKey
import io.jasmineford.store.ObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds

/** Membership calls to other daemons. */
interface MembershipPeers {
    /** Asks the daemon at [address] to write the lease of [action] to the store. */
    suspend fun renew(address: String, action: MembershipAction.WriteLease): Result<StoredObject, StoreError>

    /** Asks the daemon at [address] for the promise of [request]; false when it refuses or doesn't answer. */
    suspend fun promise(address: String, request: PromiseRequest): Boolean
}

/**
 * Runs the store and peer calls that [Membership] asks for and passes it the replies.
 *
 * @param scope runs on the control thread; store calls suspend without blocking the thread.
 */
class MembershipDriver(
    private val scope: CoroutineScope,
    private val store: ObjectStore,
    private val membership: Membership,
    private val peers: MembershipPeers,
) {
    /** Polls the state machine until the scope is cancelled. */
    fun start() = scope.launch {
        while (true) {
            membership.poll().forEach(::perform)
            delay(POLL_INTERVAL)
        }
    }

    /** Starts [action] without waiting; its reply goes to the state machine. */
    fun perform(action: MembershipAction) {
        scope.launch {
            when (action) {
                is MembershipAction.WriteLease -> membership.onLeaseWritten(action, write(action))
                is MembershipAction.Revoke -> membership.onRevoked(action, revoke(action))
                is MembershipAction.WriteMap -> membership.onMapWritten(action, write(action))
                MembershipAction.ReadAll -> membership.onRead(read())
                MembershipAction.ReadVms -> membership.onVmsRead(store.vms())
                is MembershipAction.RequestPromise ->
                    membership.onPromise(action, peers.promise(action.peerAddress, action.request))

                is MembershipAction.RemoveLease -> {
                    store.delete(leaseKey(action.vm), action.expectedVersion)
                    membership.onLeaseRemoved(action)
                }
            }
        }
    }

    private suspend fun write(action: MembershipAction.WriteLease): Result<StoredObject, StoreError> {
        action.relayAddress?.let { return peers.renew(it, action) }
        val key = leaseKey(action.lease.identity.vm)
        return store.put(key, leaseJson.encodeToString(action.lease), action.expectedVersion, action.nonce)
    }

    private suspend fun revoke(action: MembershipAction.Revoke): Result<StoredObject, StoreError> {
        val key = leaseKey(action.lease.identity.vm)
        return store.put(key, leaseJson.encodeToString(action.lease), action.expectedVersion, action.nonce)
    }

    private suspend fun write(action: MembershipAction.WriteMap): Result<StoredObject, StoreError> =
        store.put(SHARD_MAP_KEY, leaseJson.encodeToString(action.map), action.expectedVersion, action.nonce)

    private suspend fun read(): Result<MembershipView, StoreError> {
        val leases = store.list(LEASE_PREFIX)
        val map = store.get(SHARD_MAP_KEY)
        return leases.flatMap { page -> map.map { MembershipView(page.objects, it) } }
    }

    private companion object {
        val POLL_INTERVAL = 50.milliseconds
    }
}
