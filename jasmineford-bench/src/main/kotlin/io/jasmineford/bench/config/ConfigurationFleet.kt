package io.jasmineford.bench.config

import com.github.michaelbull.result.get
import io.jasmineford.core.config.CONFIGURATION_HEAD_KEY
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHead
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ConfigurationIndex
import io.jasmineford.core.config.ConfigurationSync
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.SyncAction
import io.jasmineford.core.config.SyncSettings
import io.jasmineford.core.config.changedNames
import io.jasmineford.core.config.encodeConfiguration
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.standin.platform.FakeObjectStore
import io.jasmineford.store.storeJson
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A simulated daemon with its store calls and control traffic. */
internal class ConfigurationVm(val member: FleetMember, clock: MonotonicClock, settings: SyncSettings) {
    val holder = ConfigurationHolder(clock, settings.maxProofAge)
    val sync = ConfigurationSync(member, settings, clock, holder)
    val pieces = HashSet<String>()
    val inForceAt = HashMap<Long, Duration>()
    var isPartitioned = false
    var reverts = 0
    var storeCalls = 0L
    var bytes = 0L
}

/** Daemons that synchronise configuration in virtual time: the product's state machines on a simulated network. */
internal class ConfigurationFleet(private val random: Random, vmCount: Int, zoneCount: Int) {
    private val timeline = Timeline()
    private val clock = MonotonicClock { timeline.now }
    private val settings = SyncSettings()
    private val store = FakeObjectStore()
    private var index = ConfigurationIndex()
    private val configurations = HashMap<Long, Configuration>()

    val vms: List<ConfigurationVm> = (0 until vmCount).map { number ->
        val zone = "zone-${number % zoneCount}"
        ConfigurationVm(FleetMember("$zone-$number", zone, "peer-$number", incarnation = 1), clock, settings)
    }
    private val byName = vms.associateBy { it.member.vm }
    val acceptedAt = sortedMapOf<Long, Duration>()
    val now: Duration get() = timeline.now

    init {
        val members = vms.map { it.member }
        for (vm in vms) {
            vm.sync.onMembers(now, members, incarnation = 1)
            members.forEach { vm.sync.members.acknowledgedBy(it, incarnation = 1) }
            timeline.after(random.nextLong(POLL_MS).milliseconds) { poll(vm) }
        }
    }

    var isStoreDown: Boolean
        get() = store.isDown
        set(value) {
            store.isDown = value
        }

    fun runUntil(end: Duration) = timeline.runUntil(end)

    /** Publishes [after] through a random daemon and returns its generation. */
    fun publish(after: Configuration): Long {
        val publisher = vms.filterNot { it.isPartitioned }.random(random)
        val encoded = encodeConfiguration(after, index, "request ${after.generation}", changedNames(current(), after))
        encoded.written.forEach { (key, value) -> store.put(key, value, expectedVersion = 0, nonce = key) }
        val head = store.peek(CONFIGURATION_HEAD_KEY)
        store.put(CONFIGURATION_HEAD_KEY, storeJson.encodeToString(encoded.head), head?.version ?: 0, "n${after.generation}")
        index = encoded.index
        configurations[after.generation] = after
        acceptedAt[after.generation] = now
        publisher.sync.writeBegins()
        perform(publisher, publisher.sync.writeEnded(encoded.head))
        vms.filter { it.sync.isWatcher() }.forEach { vm ->
            timeline.after(random.nextLong(WATCH_MS).milliseconds + storeDelay()) {
                if (isReachable(vm)) receive(vm, HEAD_BYTES) { perform(vm, vm.sync.onHint(encoded.head)) }
            }
        }
        return after.generation
    }

    fun current(): Configuration = configurations[acceptedAt.keys.lastOrNull() ?: 0] ?: Configuration()

    private fun poll(vm: ConfigurationVm) {
        perform(vm, vm.sync.poll())
        timeline.after(POLL_MS.milliseconds) { poll(vm) }
    }

    private fun perform(vm: ConfigurationVm, actions: List<SyncAction>) {
        for (action in actions) perform(vm, action)
    }

    private fun perform(vm: ConfigurationVm, action: SyncAction) {
        when (action) {
            is SyncAction.ReadHead -> storeCall(vm, HEAD_BYTES) {
                val stored = store.get(CONFIGURATION_HEAD_KEY).get()
                val head = stored?.let { storeJson.decodeFromString<ConfigurationHead>(it.value) }
                perform(vm, vm.sync.onHead(action.askedAt, head))
            }

            is SyncAction.Load -> load(vm, action.head)

            is SyncAction.ListMembers -> storeCall(vm, CALL_BYTES + LEASE_BYTES * vms.size) {
                vm.sync.onMembers(action.askedAt, vms.map { it.member }, incarnation = 1)
            }

            is SyncAction.Exchange -> exchange(vm, action)
        }
    }

    private fun load(vm: ConfigurationVm, head: ConfigurationHead) {
        val text = store.peek(head.index)?.value ?: return
        val missing = storeJson.decodeFromString<ConfigurationIndex>(text).pieces - vm.pieces
        val sizes = missing.map { store.peek(it)?.value?.length ?: 0 }
        vm.storeCalls += missing.size
        storeCall(vm, CALL_BYTES * (1 + missing.size) + text.length + sizes.sum(), rounds = 1 + missing.size) {
            vm.pieces += missing
            val before = vm.sync.generation
            val actions = vm.sync.onLoaded(configurations.getValue(head.generation))
            if (vm.sync.generation < before) vm.reverts++
            if (vm.sync.generation > before) vm.inForceAt[head.generation] = now
            perform(vm, actions)
        }
    }

    private fun exchange(vm: ConfigurationVm, action: SyncAction.Exchange) {
        val peer = byName.getValue(action.peer.vm)
        vm.bytes += EXCHANGE_BYTES
        timeline.after(peerDelay(vm, peer)) {
            if (vm.isPartitioned || peer.isPartitioned) return@after
            peer.bytes += EXCHANGE_BYTES
            val (view, actions) = peer.sync.answer(vm.member, action.view)
            perform(peer, actions)
            timeline.after(peerDelay(vm, peer)) { if (!vm.isPartitioned) perform(vm, vm.sync.onReply(action, view)) }
        }
    }

    private fun storeCall(vm: ConfigurationVm, bytes: Int, rounds: Int = 1, reply: () -> Unit) {
        vm.storeCalls++
        var delay = Duration.ZERO
        repeat(rounds) { delay += storeDelay() }
        timeline.after(delay) { if (isReachable(vm)) receive(vm, bytes, reply) }
    }

    private fun receive(vm: ConfigurationVm, bytes: Int, action: () -> Unit) {
        vm.bytes += bytes
        action()
    }

    private fun isReachable(vm: ConfigurationVm) = !vm.isPartitioned && !store.isDown

    private fun storeDelay(): Duration = random.nextLong(STORE_MIN_US, STORE_MAX_US).microseconds

    private fun peerDelay(from: ConfigurationVm, to: ConfigurationVm): Duration {
        val network = if (from.member.zone == to.member.zone) SAME_ZONE_US else OTHER_ZONE_US
        // One call in CALLS_PER_PAUSE waits for a garbage collection or a busy core.
        val pause = if (random.nextInt(CALLS_PER_PAUSE) == 0) PAUSE else Duration.ZERO
        return random.nextLong(network / 2, network).microseconds + pause
    }

    private companion object {
        const val POLL_MS = 50L
        const val WATCH_MS = 20L
        const val STORE_MIN_US = 2_000L
        const val STORE_MAX_US = 12_000L
        const val SAME_ZONE_US = 1_000L
        const val OTHER_ZONE_US = 3_000L
        const val CALLS_PER_PAUSE = 100
        val PAUSE = 0.1.seconds

        /** Request line, headers and status of one HTTP call, with TCP and IP headers. */
        const val CALL_BYTES = 400
        const val HEAD_BYTES = 600
        const val LEASE_BYTES = 330

        /** Both messages of one peer exchange (about 70 and 50 bytes) with gRPC, HTTP/2, TCP and IP headers. */
        const val EXCHANGE_BYTES = 320
    }
}
