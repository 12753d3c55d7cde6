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

/** A process of an entry VM in a [VirtualFleet]. Its clock has an origin of its own. */
class VirtualVm(val index: Int, val incarnation: Long, val clock: MonotonicClock, val membership: Membership) {
    val name: String = vmName(index)

    /** False after a kill and during a pause. */
    var isRunning: Boolean = true

    /** Whether the VM can reach the store; false simulates a partition. */
    var reachesStore: Boolean = true
}

/** Name of VM [index]. */
fun vmName(index: Int): String = "vm-$index"

/** Entry VMs with the product's membership on one store, in virtual time. Store and peer calls take no time. */
class VirtualFleet(vms: Int, private val settings: MembershipSettings) {
    private var nonce = 0L
    private var incarnations = 0L
    private var leaseWrites = 0L

    /** Object store with fault injection and call counts. */
    val store = FakeObjectStore(historyLimit = 1)

    /** Virtual time since the start. */
    var time: Duration = Duration.ZERO
        private set

    /** Current process of each VM. */
    val vms: MutableList<VirtualVm> = mutableListOf()

    init {
        repeat(vms) { this.vms += newProcess(it) }
    }

    /** Creates a new process of VM [index]; the caller puts it into [vms]. */
    fun newProcess(index: Int): VirtualVm {
        val clock = MonotonicClock { time + index.hours }
        val address = vmName(index)
        val identity = VmIdentity(address, "zone-${index % ZONES}", address, address, address)
        val membership = Membership(identity, settings, clock, { "nonce-${++nonce}" }, { ++incarnations })
        return VirtualVm(index, membership.incarnation, clock, membership)
    }

    /** Number of lease writes by all VMs so far. */
    fun leaseWriteCount(): Long = leaseWrites

    /** Advances time by [step]. */
    fun advance(step: Duration) {
        time += step
    }

    /** Performs the calls that are due on every running VM. */
    fun poll() = vms.filter { it.isRunning }.forEach { vm ->
        val handOver = vm.membership.release(vm.membership.shardsToHandOver())
        (vm.membership.poll() + listOfNotNull(handOver)).forEach { perform(vm, it) }
    }

    /** Number of shards that no running VM owns. */
    fun ownerlessShards(): Int = (0 until settings.shards).count { shard ->
        vms.none { it.membership.isActiveOwner(shard) && it.isRunning }
    }

    private fun perform(vm: VirtualVm, action: MembershipAction) {
        val relayName = (action as? MembershipAction.WriteLease)?.relayAddress
        val relay = relayName?.let { name -> vms.find { it.name == name } } ?: vm
        val isReached = relay.reachesStore && relay.isRunning
        val membership = vm.membership
        when (action) {
            is MembershipAction.WriteLease -> membership.onLeaseWritten(
                action,
                if (isReached) renew(leaseKey(action.lease.identity.vm), leaseJson.encodeToString(action.lease), action.expectedVersion, action.nonce) else DOWN,
            )

            is MembershipAction.Revoke -> membership.onRevoked(
                action,
                if (isReached) put(leaseKey(action.lease.identity.vm), leaseJson.encodeToString(action.lease), action.expectedVersion, action.nonce) else DOWN,
            )

            is MembershipAction.WriteMap -> membership.onMapWritten(
                action,
                if (isReached) put(SHARD_MAP_KEY, leaseJson.encodeToString(action.map), action.expectedVersion, action.nonce) else DOWN,
            )

            is MembershipAction.RemoveLease -> {
                if (isReached) store.delete(leaseKey(action.vm), action.expectedVersion)
                membership.onLeaseRemoved(action)
            }

            is MembershipAction.RequestPromise -> {
                val member = vms.find { it.name == action.peerAddress && it.isRunning }
                membership.onPromise(action, member?.membership?.promise(action.request) == true)
            }

            MembershipAction.ReadAll -> membership.onRead(if (isReached) read() else DOWN)
            MembershipAction.ReadVms -> membership.onVmsRead(if (isReached && !store.isDown) Ok(listing()) else DOWN)
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
