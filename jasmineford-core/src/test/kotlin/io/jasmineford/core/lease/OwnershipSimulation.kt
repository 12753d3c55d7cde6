package io.jasmineford.core.lease

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.ABSENT_VERSION
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.VmCondition
import io.jasmineford.store.VmListing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours

/** Simulated outcome of a store or peer call. */
internal enum class Delivery { REPLIED, REPLY_LOST, REPLY_DELAYED, NOT_SENT }

/** Object store as an immutable map, so that copies of a simulation are cheap. Versions count per key. */
internal data class SimulatedStore(
    val objects: Map<String, StoredObject> = emptyMap(),
    val removed: Map<String, Long> = emptyMap(),
)

/** A delayed reply to the process numbered [process]. */
internal data class Reply(val process: Int, val action: MembershipAction, val result: Result<Any?, StoreError>)

/** One process of a VM. A restart adds a process; earlier ones may still be running. */
internal class Process(val vm: Int, val number: Int, val clock: MonotonicClock) {
    var nonces = 0
    var incarnations = number * INCARNATIONS_A_PROCESS
    lateinit var membership: Membership

    companion object {
        const val INCARNATIONS_A_PROCESS = 1_000L
    }
}

/**
 * Deterministic simulation of VMs that share one store, in virtual time. The test makes all choices, so the same
 * choices give the same states.
 *
 * @param listener process that answers at the peer address of a VM, or null.
 */
internal class OwnershipSimulation(
    val settings: MembershipSettings,
    private val listener: OwnershipSimulation.(vm: Int) -> Process? = { vm -> processes.lastOrNull { it.vm == vm } },
) {
    private var store = SimulatedStore()
    private val delayedReplies = mutableListOf<Reply>()
    val processes = mutableListOf<Process>()

    /** Virtual time. The clock of VM i is i hours ahead and runs at a slightly different rate. */
    var time: Duration = Duration.ZERO
        private set

    /** Names in the platform's VM list. */
    var listed: Set<String> = emptySet()

    /** Number of store writes so far, including conflicts. */
    var writes = 0
        private set

    /** Starts a new process of [vm]; earlier processes of the VM keep running. */
    fun start(vm: Int): Process {
        val process = Process(vm, processes.size + 1) { time * (1.0 + vm * CLOCK_DRIFT) + vm.hours }
        val identity = VmIdentity("vm-$vm", "zone-$vm", "caller-$vm", "peer-$vm", "operator-$vm")
        process.membership = Membership(
            self = identity,
            settings = settings,
            clock = process.clock,
            nonces = { "${process.number}:${++process.nonces}" },
            incarnations = { ++process.incarnations },
        )
        return process.also { processes += it }
    }

    /** Returns an independent copy of the current state. */
    fun fork(): OwnershipSimulation {
        val copy = OwnershipSimulation(settings, listener)
        copy.time = time
        for (process in processes) {
            val copiedProcess = copy.start(process.vm)
            copiedProcess.nonces = process.nonces
            copiedProcess.incarnations = process.incarnations
            copiedProcess.membership.state = process.membership.state
        }
        copy.store = store
        copy.delayedReplies += delayedReplies
        copy.listed = listed
        return copy
    }

    /** Value that is equal for simulations in the same state. */
    fun fingerprint(): Any =
        listOf(time, store, delayedReplies.toSet(), processes.map { it.membership.state to it.nonces })

    fun advance(step: Duration) {
        time += step
    }

    /** Runs one step of [process]: delivers its delayed replies, polls it and performs its actions and hand-overs. */
    fun run(process: Process, delivery: (MembershipAction) -> Delivery) {
        val due = delayedReplies.filter { it.process == process.number }
        delayedReplies.removeAll(due)
        due.forEach { deliver(process, it) }
        val actions = process.membership.poll() + listOfNotNull(
            process.membership.release(process.membership.shardsToHandOver()),
        )
        for (action in actions) {
            val outcome = delivery(action)
            val reply = Reply(process.number, action, perform(action, outcome))
            if (outcome == Delivery.REPLY_DELAYED) delayedReplies += reply else deliver(process, reply)
        }
    }

    /** Description of a shard with more than one active owner; null when there is none. */
    fun violation(): String? = (0 until settings.shards).firstNotNullOfOrNull { shard ->
        val acting = processes.filter { it.membership.isActiveOwner(shard) }
        val text = acting.joinToString { "vm-${it.vm} (process ${it.number}, incarnation ${it.membership.incarnation})" }
        if (acting.size > 1) "at $time shard $shard has more than one owner: $text" else null
    }

    /** Shards without an active owner. */
    fun ownerless(): List<Int> =
        (0 until settings.shards).filter { shard -> processes.none { it.membership.isActiveOwner(shard) } }

    /** Keys of all stored objects. */
    fun keys(): Set<String> = store.objects.keys

    private fun perform(action: MembershipAction, outcome: Delivery): Result<Any?, StoreError> {
        val result = when (action) {
            is MembershipAction.RequestPromise -> ask(action, outcome)
            else -> if (outcome == Delivery.NOT_SENT) Err(DOWN) else performInStore(action)
        }
        return if (outcome == Delivery.REPLY_LOST) Err(DOWN) else result
    }

    private fun ask(action: MembershipAction.RequestPromise, outcome: Delivery): Result<Boolean, StoreError> {
        val vm = action.peerAddress.removePrefix("peer-").toInt()
        val process = if (outcome == Delivery.NOT_SENT) null else listener(vm)
        return Ok(process?.membership?.promise(action.request) == true)
    }

    private fun performInStore(action: MembershipAction): Result<Any?, StoreError> = when (action) {
        is MembershipAction.WriteLease -> putLease(action.lease, action.expectedVersion, action.nonce)
        is MembershipAction.Revoke -> putLease(action.lease, action.expectedVersion, action.nonce)
        is MembershipAction.WriteMap ->
            put(SHARD_MAP_KEY, leaseJson.encodeToString(action.map), action.expectedVersion, action.nonce)

        is MembershipAction.RemoveLease -> Ok(remove(leaseKey(action.vm), action.expectedVersion))
        MembershipAction.ReadVms -> Ok(listed.map { VmListing(it, "zone", VmCondition.LIVE) })
        else -> Ok(view())
    }

    @Suppress("UNCHECKED_CAST")
    private fun deliver(process: Process, reply: Reply) {
        val membership = process.membership
        when (val action = reply.action) {
            is MembershipAction.WriteLease -> membership.onLeaseWritten(action, reply.result as Result<StoredObject, StoreError>)
            is MembershipAction.Revoke -> membership.onRevoked(action, reply.result as Result<StoredObject, StoreError>)
            is MembershipAction.WriteMap -> membership.onMapWritten(action, reply.result as Result<StoredObject, StoreError>)
            is MembershipAction.RequestPromise -> membership.onPromise(action, reply.result == Ok(true))
            is MembershipAction.RemoveLease -> membership.onLeaseRemoved(action)
            MembershipAction.ReadAll -> membership.onRead(reply.result as Result<MembershipView, StoreError>)
            MembershipAction.ReadVms -> membership.onVmsRead(reply.result as Result<List<VmListing>, StoreError>)
        }
    }

    private fun view() = MembershipView(
        leases = store.objects.values.filter { it.key.startsWith(LEASE_PREFIX) },
        map = store.objects[SHARD_MAP_KEY],
    )

    private fun putLease(lease: Lease, expected: Long, nonce: String) =
        put(leaseKey(lease.identity.vm), leaseJson.encodeToString(lease), expected, nonce)

    private fun put(key: String, value: String, expected: Long, nonce: String): Result<StoredObject, StoreError> {
        writes++
        val current = store.objects[key]
        if ((current?.version ?: ABSENT_VERSION) != expected) return Err(StoreError.Conflict(current))
        val version = (current?.version ?: store.removed[key] ?: ABSENT_VERSION) + 1
        val written = StoredObject(key, version, nonce, value)
        store = store.copy(objects = store.objects + (key to written))
        return Ok(written)
    }

    private fun remove(key: String, expected: Long) {
        if (store.objects[key]?.version != expected) return
        store = store.copy(objects = store.objects - key, removed = store.removed + (key to expected))
    }

    private companion object {
        val DOWN = StoreError.Unavailable("store is down")
        const val CLOCK_DRIFT = 0.0002
    }
}
