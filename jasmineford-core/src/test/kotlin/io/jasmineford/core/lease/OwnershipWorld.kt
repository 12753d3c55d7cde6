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

/** What happens to a call. */
internal enum class Delivery { REPLIED, REPLY_LOST, REPLY_LATE, NOT_SENT }

/** Object store as an immutable map, so that a world can be copied cheaply. Versions count for each key. */
internal data class MapStore(
    val objects: Map<String, StoredObject> = emptyMap(),
    val removed: Map<String, Long> = emptyMap(),
)

/** A reply that is on its way to [process]. */
internal data class Reply(val process: Int, val action: MembershipAction, val result: Result<Any?, StoreError>)

/** One process of a VM. A restart adds a process; the one before may still run. */
internal class Process(val vm: Int, val number: Int, val clock: MonotonicClock) {
    var nonces = 0
    var incarnations = number * INCARNATIONS_A_PROCESS
    lateinit var membership: Membership

    companion object {
        const val INCARNATIONS_A_PROCESS = 1_000L
    }
}

/**
 * VMs around one store in virtual time. Each choice is made by the test; the same choices give the same world.
 *
 * @param listener the process that answers at the peer address of a VM, or null.
 */
internal class OwnershipWorld(
    val settings: MembershipSettings,
    private val listener: OwnershipWorld.(vm: Int) -> Process? = { vm -> processes.lastOrNull { it.vm == vm } },
) {
    private var store = MapStore()
    private val late = mutableListOf<Reply>()
    val processes = mutableListOf<Process>()

    /** Virtual time; the clock of VM i is ahead of it by i hours and runs at a slightly different rate. */
    var time: Duration = Duration.ZERO
        private set

    /** Names in the platform's VM list. */
    var listed: Set<String> = emptySet()

    /** Store writes so far, refused ones included. */
    var writes = 0
        private set

    /** Starts a new process of [vm]; earlier processes of the VM stay. */
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

    /** A copy that goes on by itself. */
    fun fork(): OwnershipWorld {
        val copy = OwnershipWorld(settings, listener)
        copy.time = time
        for (process in processes) {
            val twin = copy.start(process.vm)
            twin.nonces = process.nonces
            twin.incarnations = process.incarnations
            twin.membership.state = process.membership.state
        }
        copy.store = store
        copy.late += late
        copy.listed = listed
        return copy
    }

    /** Value that is equal for worlds that go on in the same way. */
    fun fingerprint(): Any = listOf(time, store, late.toSet(), processes.map { it.membership.state to it.nonces })

    fun advance(step: Duration) {
        time += step
    }

    /** Lets [process] take late replies, poll, and hand over what it should. */
    fun run(process: Process, delivery: (MembershipAction) -> Delivery) {
        val due = late.filter { it.process == process.number }
        late.removeAll(due)
        due.forEach { deliver(process, it) }
        val actions = process.membership.poll() + listOfNotNull(
            process.membership.release(process.membership.shardsToHandOver()),
        )
        for (action in actions) {
            val fate = delivery(action)
            val reply = Reply(process.number, action, perform(action, fate))
            if (fate == Delivery.REPLY_LATE) late += reply else deliver(process, reply)
        }
    }

    /** Processes that may act for the same shard at the same time, described; null when there are none. */
    fun violation(): String? = (0 until settings.shards).firstNotNullOfOrNull { shard ->
        val acting = processes.filter { it.membership.mayAct(shard) }
        val text = acting.joinToString { "vm-${it.vm} (process ${it.number}, incarnation ${it.membership.incarnation})" }
        if (acting.size > 1) "at $time shard $shard has more than one owner: $text" else null
    }

    /** Shards without an owner that may act. */
    fun ownerless(): List<Int> =
        (0 until settings.shards).filter { shard -> processes.none { it.membership.mayAct(shard) } }

    /** Keys of all stored objects. */
    fun keys(): Set<String> = store.objects.keys

    private fun perform(action: MembershipAction, fate: Delivery): Result<Any?, StoreError> {
        val result = when (action) {
            is MembershipAction.AskPromise -> ask(action, fate)
            else -> if (fate == Delivery.NOT_SENT) Err(DOWN) else performInStore(action)
        }
        return if (fate == Delivery.REPLY_LOST) Err(DOWN) else result
    }

    private fun ask(action: MembershipAction.AskPromise, fate: Delivery): Result<Boolean, StoreError> {
        val process = if (fate == Delivery.NOT_SENT) null else listener(action.peerAddress.removePrefix("peer-").toInt())
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
            is MembershipAction.AskPromise -> membership.onPromise(action, reply.result == Ok(true))
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
