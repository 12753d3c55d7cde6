package io.jasmineford.bench.program

import com.github.michaelbull.result.get
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.SHARD_MAP_KEY
import io.jasmineford.core.lease.ShardMap
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.assignUnownedShards
import io.jasmineford.core.lease.holder
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Ownership as the membership protocol guarantees it: a lease that was not renewed for its time to live and a margin is
 * revoked, and shards without a live owner get a new one. Programs are tested against this contract, since ownership has
 * tests of its own.
 */
internal class LeaseBoard(
    private val loop: EventLoop,
    private val store: FakeObjectStore,
    private val shards: Int,
) {
    private val leases = HashMap<String, Entry>()

    /** The stored shard map. */
    val map: ShardMap get() = store.peek(SHARD_MAP_KEY)?.let { decodeMap(it) } ?: ShardMap()

    /** Live leases. */
    fun live(): List<Lease> = leases.values.filter { !it.lease.isRevoked }.map { it.lease }

    /** Starts a new incarnation of [vm], or marks it as leaving. */
    fun register(vm: String, incarnation: Long, isLeaving: Boolean) {
        val known = leases[vm]?.lease
        if (known != null && known.incarnation > incarnation) return
        val identity = VmIdentity(vm, zone = "z", callerAddress = "", peerAddress = "", operatorAddress = "")
        val isRevoked = known?.incarnation == incarnation && known.isRevoked
        leases[vm] = Entry(Lease(identity, incarnation, 0, isRevoked, isLeaving), loop.clock.now())
        assign()
    }

    /** Takes a renewal; false when the incarnation was revoked or replaced. */
    fun renew(vm: String, incarnation: Long): Boolean {
        val entry = leases[vm] ?: return false
        if (entry.lease.incarnation != incarnation || entry.lease.isRevoked) return false
        leases[vm] = Entry(entry.lease, loop.clock.now())
        return true
    }

    /** Revokes expired leases and gives orphaned shards away. */
    fun check() {
        for ((vm, entry) in leases.toMap()) {
            val isExpired = loop.clock.now() - entry.renewedAt > TIME_TO_LIVE + MARGIN
            if (isExpired && !entry.lease.isRevoked) {
                leases[vm] = Entry(entry.lease.copy(isRevoked = true), entry.renewedAt)
            }
        }
        assign()
    }

    private fun assign() {
        val stored = store.peek(SHARD_MAP_KEY)
        val before = map
        val live = live()
        val owners = assignUnownedShards(before.shards, live, shards, before.epoch + 1) { holder ->
            live.none { it.holder == holder }
        }
        if (owners == before.shards) return
        val version = stored?.version ?: ABSENT_VERSION
        store.put(SHARD_MAP_KEY, leaseJson.encodeToString(ShardMap(before.epoch + 1, owners)), version, "board").get()
    }

    private class Entry(val lease: Lease, val renewedAt: Duration)

    companion object {
        /** Validity of a renewal from before it was sent. */
        val TIME_TO_LIVE = 1_000.milliseconds

        /** Wait beyond [TIME_TO_LIVE] before a revocation. */
        val MARGIN = 200.milliseconds
    }
}

internal fun decodeMap(stored: StoredObject): ShardMap = leaseJson.decodeFromString(stored.value)
