package io.jasmineford.bench.ownership

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.fold
import io.jasmineford.core.lease.LEASE_PREFIX
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.MembershipAction
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.lease.MembershipView
import io.jasmineford.core.lease.SHARD_MAP_KEY
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.core.lease.leaseKey
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.StoreError
import io.jasmineford.store.VmCondition
import io.jasmineford.store.VmListing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** One entry VM of a [VirtualFleet]. Its clock has an origin of its own. */
class VirtualVm(val index: Int, val incarnation: Long, val clock: MonotonicClock, val membership: Membership) {
    val name: String = vmName(index)

    /** False after a kill and during a pause. */
    var isRunning: Boolean = true

    /** Whether the VM reaches the store, apart from outages. */
    var reachesStore: Boolean = true
}

/** Name of VM [index]. */
fun vmName(index: Int): String = "vm-$index"

/** Entry VMs with their leases around one store, in virtual time. Store and peer calls take no time. */
class VirtualFleet(vms: Int, private val settings: MembershipSettings) {
    private var nonce = 0L
    private var incarnations = 0L
    private var leaseWrites = 0L

    /** The store, with its faults and counts. */
    val store = FakeObjectStore(historyLimit = 1)

    /** Time since the start. */
    var time: Duration = Duration.ZERO
        private set

    /** Running processes, one for each VM. */
    val vms: MutableList<VirtualVm> = mutableListOf()

    init {
        repeat(vms) { this.vms += process(it) }
    }

    /** A new process of VM [index], which the caller puts into [vms]. */
    fun process(index: Int): VirtualVm {
        val clock = MonotonicClock { time + index.hours }
        val address = vmName(index)
        val identity = VmIdentity(address, "zone-${index % ZONES}", address, address, address)
        val membership = Membership(identity, settings, clock, { "nonce-${++nonce}" }, { ++incarnations })
        return VirtualVm(index, membership.incarnation, clock, membership)
    }

    /** Lease writes so far, of all VMs. */
    fun renewals(): Long = leaseWrites

    /** Moves time on by [step]. */
    fun advance(step: Duration) {
        time += step
    }

    /** Lets every running VM make the calls that are due. */
    fun poll() = vms.filter { it.isRunning }.forEach { vm ->
        val handOver = vm.membership.release(vm.membership.shardsToHandOver())
        (vm.membership.poll() + listOfNotNull(handOver)).forEach { perform(vm, it) }
    }

    /** Shards without a VM that may act for them. */
    fun ownerless(): Int = (0 until settings.shards).count { shard ->
        vms.none { it.membership.isActiveOwner(shard) && it.isRunning }
    }

    private fun perform(vm: VirtualVm, action: MembershipAction) {
        val relayName = (action as? MembershipAction.WriteLease)?.relayAddress
        val relay = relayName?.let { name -> vms.find { it.name == name } } ?: vm
        val isReached = relay.reachesStore && relay.isRunning
        val m = vm.membership
        when (action) {
            is MembershipAction.WriteLease -> m.onLeaseWritten(
                action,
                if (isReached) renew(leaseKey(action.lease.identity.vm), leaseJson.encodeToString(action.lease), action.expectedVersion, action.nonce) else DOWN,
            )

            is MembershipAction.Revoke -> m.onRevoked(
                action,
                if (isReached) put(leaseKey(action.lease.identity.vm), leaseJson.encodeToString(action.lease), action.expectedVersion, action.nonce) else DOWN,
            )

            is MembershipAction.WriteMap -> m.onMapWritten(
                action,
                if (isReached) put(SHARD_MAP_KEY, leaseJson.encodeToString(action.map), action.expectedVersion, action.nonce) else DOWN,
            )

            is MembershipAction.RemoveLease -> {
                if (isReached) store.delete(leaseKey(action.vm), action.expectedVersion)
                m.onLeaseRemoved(action)
            }

            is MembershipAction.RequestPromise -> {
                val member = vms.find { it.name == action.peerAddress && it.isRunning }
                m.onPromise(action, member?.membership?.promise(action.request) == true)
            }

            MembershipAction.ReadAll -> m.onRead(if (isReached) read() else DOWN)
            MembershipAction.ReadVms -> m.onVmsRead(if (isReached && !store.isDown) Ok(listing()) else DOWN)
        }
    }

    private fun put(key: String, value: String, version: Long, nonce: String) = store.put(key, value, version, nonce)

    private fun renew(key: String, value: String, version: Long, nonce: String) =
        put(key, value, version, nonce).also { leaseWrites++ }

    private fun read() = store.list(LEASE_PREFIX, limit = PAGE).fold(
        success = { page -> store.get(SHARD_MAP_KEY).fold({ Ok(MembershipView(page.objects, it)) }, { Err(it) }) },
        failure = { Err(it) },
    )

    private fun listing() = vms.filter { it.isRunning }.map { VmListing(it.name, "zone", VmCondition.LIVE) }

    private companion object {
        val DOWN = Err(StoreError.Unavailable("no connection"))
        const val ZONES = 3
        const val PAGE = 1_000
    }
}
