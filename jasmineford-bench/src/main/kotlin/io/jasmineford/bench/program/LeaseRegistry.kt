package io.jasmineford.bench.program

import com.github.michaelbull.result.get
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.SHARD_MAP_KEY
import io.jasmineford.core.lease.ShardMap
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.assignOrphans
import io.jasmineford.core.lease.holder
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.StoredObject
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Model of what the membership protocol guarantees: a lease that has not been renewed for its time to live and a margin
 * is revoked, and shards without a live owner are assigned to a new one. The protocol itself has its own tests.
 */
internal class LeaseRegistry(
    private val loop: EventLoop,
    private val store: FakeObjectStore,
    private val shards: Int,
) {
    private val entries = HashMap<String, Entry>()

    /** Current shard map in the store. */
    val map: ShardMap get() = store.peek(SHARD_MAP_KEY)?.let { decodeMap(it) } ?: ShardMap()

    /** Leases that are not revoked. */
    fun live(): List<Lease> = entries.values.filter { !it.lease.isRevoked }.map { it.lease }

    /** Registers [incarnation] of [vm], or updates whether it is leaving; an older incarnation is ignored. */
    fun register(vm: String, incarnation: Long, isLeaving: Boolean) {
        val known = entries[vm]?.lease
        if (known != null && known.incarnation > incarnation) return
        val identity = VmIdentity(vm, zone = "z", callerAddress = "", peerAddress = "", operatorAddress = "")
        val isRevoked = known?.incarnation == incarnation && known.isRevoked
        entries[vm] = Entry(Lease(identity, incarnation, 0, isRevoked, isLeaving), loop.clock.now())
        assign()
    }

    /** Renews the lease of [vm]; false when the incarnation was revoked or replaced. */
    fun renew(vm: String, incarnation: Long): Boolean {
        val entry = entries[vm] ?: return false
        if (entry.lease.incarnation != incarnation || entry.lease.isRevoked) return false
        entries[vm] = Entry(entry.lease, loop.clock.now())
        return true
    }

    /** Revokes expired leases and assigns shards without an owner. */
    fun check() {
        for ((vm, entry) in entries.toMap()) {
            val isExpired = loop.clock.now() - entry.renewedAt > TIME_TO_LIVE + MARGIN
            if (isExpired && !entry.lease.isRevoked) {
                entries[vm] = Entry(entry.lease.copy(isRevoked = true), entry.renewedAt)
            }
        }
        assign()
    }

    private fun assign() {
        val stored = store.peek(SHARD_MAP_KEY)
        val before = map
        val live = live()
        val owners = assignOrphans(before.shards, live, shards, before.epoch + 1) { holder ->
            live.none { it.holder == holder }
        }
        if (owners == before.shards) return
        val version = stored?.version ?: ABSENT_VERSION
        store.put(SHARD_MAP_KEY, leaseJson.encodeToString(ShardMap(before.epoch + 1, owners)), version, "board").get()
    }

    private class Entry(val lease: Lease, val renewedAt: Duration)

    companion object {
        /** Validity of a lease, counted from the time at which its last renewal was sent. */
        val TIME_TO_LIVE = 1_000.milliseconds

        /** Additional wait after [TIME_TO_LIVE] before a lease is revoked. */
        val MARGIN = 200.milliseconds
    }
}

internal fun decodeMap(stored: StoredObject): ShardMap = leaseJson.decodeFromString(stored.value)
