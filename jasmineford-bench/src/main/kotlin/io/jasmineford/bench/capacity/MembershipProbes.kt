package io.jasmineford.bench.capacity

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import io.jasmineford.core.lease.LEASE_PREFIX
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.MembershipAction
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.lease.MembershipView
import io.jasmineford.core.lease.SHARD_MAP_KEY
import io.jasmineford.core.lease.ShardMap
import io.jasmineford.core.lease.ShardOwner
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.journalId
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.core.lease.leaseKey
import io.jasmineford.core.time.VirtualClock
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.VmCondition
import io.jasmineford.store.VmListing
import kotlinx.serialization.json.Json
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Cost of one daemon's membership during a minute in a fleet of [daemons] in which only leases are renewed. */
private class MembershipLoad(private val daemons: Int) {
    private val clock = VirtualClock()
    private val store = FakeObjectStore(historyLimit = 1)
    private val settings = MembershipSettings(listEvery = 500.milliseconds, shards = daemons * SHARDS_PER_DAEMON)
    private var nonce = 0L
    private val membership = Membership(identity(0), settings, clock, { "n${nonce++}" }, { 1L })
    var calls = 0
        private set
    var bytes = 0L
        private set

    /** Requests to peers for a promise not to revoke this daemon's lease. */
    var promises = 0
        private set

    /** CPU time of the state machine and of decoding store objects, without the fake store and the other daemons. */
    var cpu = Duration.ZERO
        private set

    fun run(): MembershipLoad {
        val owners = (0 until settings.shards).map { owner("vm-${it % daemons}") }
        store.put(SHARD_MAP_KEY, leaseJson.encodeToString(ShardMap(1, owners)), ABSENT_VERSION, "map")
        repeat((MINUTE / STEP).toInt()) { step(it) }
        return this
    }

    private fun step(index: Int) {
        if (index % RENEWAL_STEPS == 0) (1 until daemons).forEach { renew(it, index) }
        var due = emptyList<MembershipAction>()
        cpu += cpuTime { due = membership.poll() }
        due.forEach(::perform)
        clock.advance(STEP)
    }

    private fun renew(vm: Int, renewal: Int) {
        val key = leaseKey("vm-$vm")
        val lease = leaseJson.encodeToString(Lease(identity(vm), 1, renewal.toLong()))
        store.put(key, lease, store.peek(key)?.version ?: ABSENT_VERSION, "r$vm-$renewal")
    }

    private fun perform(action: MembershipAction) {
        when (action) {
            is MembershipAction.WriteLease -> {
                val value = leaseJson.encodeToString(action.lease)
                count(1, value.length)
                val key = leaseKey(action.lease.identity.vm)
                membership.onLeaseWritten(action, store.put(key, value, action.expectedVersion, action.nonce))
            }

            is MembershipAction.WriteMap -> {
                val value = leaseJson.encodeToString(action.map)
                count(1, value.length)
                membership.onMapWritten(action, store.put(SHARD_MAP_KEY, value, action.expectedVersion, action.nonce))
            }

            is MembershipAction.Revoke, is MembershipAction.RemoveLease ->
                error("expected no change in a healthy fleet, actual $action")

            is MembershipAction.AskPromise -> {
                promises++
                cpu += cpuTime { membership.onPromise(action, isPromised = true) }
            }

            MembershipAction.ReadVms -> {
                val vms = (0 until daemons).map { VmListing("vm-$it", "zone-${it % ZONES}", VmCondition.LIVE) }
                count(1, Json.encodeToString(vms).length)
                cpu += cpuTime { membership.onVmsRead(Ok(vms)) }
            }

            MembershipAction.ReadAll -> {
                val leases = store.list(LEASE_PREFIX, limit = 1_000).get()?.objects.orEmpty()
                val map = store.get(SHARD_MAP_KEY).get()
                count(2, leases.sumOf { it.value.length } + (map?.value?.length ?: 0))
                cpu += cpuTime { membership.onRead(Ok(MembershipView(leases, map))) }
            }
        }
    }

    private fun count(newCalls: Int, newBytes: Int) {
        calls += newCalls
        bytes += newBytes
    }

    private fun identity(vm: Int) =
        VmIdentity("vm-$vm", "zone-${vm % ZONES}", "10.0.0.$vm:7111", "10.0.0.$vm:7113", "10.0.0.$vm:7112")

    private fun owner(vm: String) = ShardOwner(vm, incarnation = 1, epoch = 1, journals = listOf(journalId(vm, 1)))
}

/** Control messages and CPU time of one daemon's membership by fleet size. */
internal fun membershipProbes(): List<CapacityProbe> = listOf(
    CapacityProbe("membership-store-calls", "calls/s a daemon", "daemon", DAEMONS, DESIGN_DAEMONS) { size ->
        MembershipLoad(size).run().calls / MINUTE.inWholeSeconds.toDouble()
    },
    CapacityProbe("membership-bytes", "bytes/s a daemon", "daemon", DAEMONS, DESIGN_DAEMONS) { size ->
        MembershipLoad(size).run().bytes / MINUTE.inWholeSeconds.toDouble()
    },
    CapacityProbe("membership-promises", "requests/s a daemon", "daemon", DAEMONS, DESIGN_DAEMONS) { size ->
        MembershipLoad(size).run().promises / MINUTE.inWholeSeconds.toDouble()
    },
    CapacityProbe("membership-cpu", "us/s a daemon", "daemon", DAEMONS, DESIGN_DAEMONS) { size ->
        MembershipLoad(size).run().cpu / 1.microseconds / MINUTE.inWholeSeconds
    },
)

private val DAEMONS = listOf(6, 24, 96, 390)
private const val DESIGN_DAEMONS = 390
private const val SHARDS_PER_DAEMON = 8
private const val ZONES = 7
private val MINUTE = 60.seconds
private val STEP = 50.milliseconds

/** Steps between two lease renewals, which are 2 s apart. */
private const val RENEWAL_STEPS = 40
