package io.jasmineford.daemon.control

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import io.jasmineford.core.config.ClientAccount
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ConfigurationIndex
import io.jasmineford.core.config.ConfigurationSync
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.OrganisationConfiguration
import io.jasmineford.core.config.PeerView
import io.jasmineford.core.config.SyncSettings
import io.jasmineford.core.config.decodeConfiguration
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.leaseJson
import io.jasmineford.core.lease.leaseKey
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.store.StoreError
import io.jasmineford.store.StoredObject
import io.jasmineford.store.acceptOwnWrite
import io.jasmineford.store.storeJson
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Several VMs in virtual time with the production driver, publisher and state machines. The platform and the network
 * between VMs are simulated.
 */
internal class ConfigurationSimulation(
    private val scope: CoroutineScope,
    private val dispatcher: CoroutineDispatcher,
    val random: Random,
    zones: List<String>,
    vmsPerZone: Int,
    val now: () -> Duration,
) {
    val platform = FaultyPlatform(scope, random, now)
    val blockedLinks = HashSet<Set<String>>()
    val vms: Map<String, SimulatedVm> = zones.flatMap { zone -> (1..vmsPerZone).map { "$zone-$it" to zone } }
        .associate { (name, zone) -> name to SimulatedVm(this, name, zone) }
    private var nonce = 0
    private var incarnation = 0L

    fun nextNonce(): String = "n${nonce++}"

    fun nextIncarnation(): Long = ++incarnation

    fun newScope(): CoroutineScope = CoroutineScope(SupervisorJob(scope.coroutineContext[Job]) + dispatcher)

    fun dispatcher(): CoroutineDispatcher = dispatcher

    /** Delivers [view] to [peer]. Requests and replies may be lost, late or refused. */
    suspend fun exchange(from: SimulatedVm, self: FleetMember, peer: FleetMember, view: PeerView): PeerView? {
        delay(random.nextLong(1, LATENCY_MS).milliseconds)
        val target = vms.getValue(peer.vm)
        val process = target.process ?: return null
        if (setOf(from.name, peer.vm) in blockedLinks || process.address != peer.peerAddress) return null
        if (isFault()) {
            delay(LATE_DELIVERY)
            process.driver.answer(self, view)
            return null
        }
        val reply = process.driver.answer(self, view)
        delay(random.nextLong(1, LATENCY_MS).milliseconds)
        return if (isFault()) null else reply
    }

    /** Index and configuration that the store holds for [generation]. */
    fun published(generation: Long): Pair<ConfigurationIndex, Configuration> {
        val (_, head) = platform.accepted.getValue(generation)
        val index = storeJson.decodeFromString<ConfigurationIndex>(platform.objects.peek(head.index)!!.value)
        val pieces = index.pieces.map {
            storeJson.decodeFromString<io.jasmineford.core.config.ConfigurationPiece>(platform.objects.peek(it)!!.value)
        }
        return index to decodeConfiguration(index, pieces)
    }

    /** Newest generation that was accepted before [time]. */
    fun newestAcceptedBefore(time: Duration): Long =
        platform.accepted.entries.lastOrNull { it.value.first < time }?.key ?: 0

    fun isFault() = random.nextDouble() < platform.faultRate

    private companion object {
        const val LATENCY_MS = 15L
        val LATE_DELIVERY = 600.milliseconds
    }
}

/** One VM with at most one process at a time. */
internal class SimulatedVm(
    private val simulation: ConfigurationSimulation,
    val name: String,
    val zone: String,
) {
    var process: SimulatedProcess? = null
        private set

    fun start() {
        simulation.platform.vms += name
        process = SimulatedProcess(simulation, this).also { it.start() }
    }

    fun crash() {
        process?.scope?.cancel()
        process = null
    }
}

internal class SimulatedProcess(private val simulation: ConfigurationSimulation, private val vm: SimulatedVm) {
    val scope = simulation.newScope()
    private var incarnation = simulation.nextIncarnation()
    val address = "${vm.name}:$incarnation"
    private val self = FleetMember(vm.name, vm.zone, address)
    private val clock = MonotonicClock { simulation.now() }
    private val settings = SyncSettings(listEvery = 2.seconds, writeLateness = MAX_WRITE_DELAY)
    val holder = ConfigurationHolder(clock, settings.maxProofAge)
    private val sync = ConfigurationSync(self, settings, clock, holder)
    private val store = FaultyStore(simulation.platform, vm.name)
    private var leaseVersion = 0L
    private var validUntil = Duration.ZERO
    val seen = mutableListOf<Configuration>()
    private val exchange: ViewExchange = { peer, view -> simulation.exchange(vm, self, peer, view) }
    private val isLeaseValid = { simulation.now() < validUntil }
    private val right = PublishingRight(simulation.dispatcher(), store, sync, exchange, isLeaseValid)
    val driver = ConfigurationDriver(scope, store, sync, exchange, { incarnation }, { seen += it }, POLL_INTERVAL)
    val publisher = ConfigurationPublisher(
        store,
        simulation::nextNonce,
        right,
        HeadWriter(scope, store, clock, right, simulation::nextNonce, { driver.perform(it) }, MAX_WRITE_DELAY),
    )

    fun start() {
        driver.start()
        scope.launch { keepLease() }
    }

    private suspend fun keepLease() {
        var renewal = 0L
        while (true) {
            val identity = VmIdentity(vm.name, vm.zone, "c", address, "o")
            val text = leaseJson.encodeToString(Lease(identity, incarnation, renewal++))
            val nonce = simulation.nextNonce()
            val sentAt = simulation.now()
            acceptOwnWrite(store.put(leaseKey(vm.name), text, leaseVersion, nonce), nonce).fold(
                success = {
                    leaseVersion = it.version
                    validUntil = sentAt + TIME_TO_LIVE
                },
                failure = { refused(it) },
            )
            delay(if (simulation.now() < validUntil) RENEW_INTERVAL else RETRY_INTERVAL)
        }
    }

    /**
     * Handles a failed write. A conflict means that the lease was revoked, or that an earlier write without a reply
     * took effect.
     */
    private fun refused(error: StoreError) {
        if (error !is StoreError.Conflict) return
        leaseVersion = error.current?.version ?: 0
        val stored = error.current?.let { leaseJson.decodeFromString<Lease>(it.value) }
        if (stored != null && (stored.isRevoked || stored.incarnation != incarnation)) {
            incarnation = simulation.nextIncarnation()
            validUntil = Duration.ZERO
        }
    }

    companion object {
        val POLL_INTERVAL = 50.milliseconds
        val TIME_TO_LIVE = 6.seconds
        val RENEW_INTERVAL = 1.seconds
        val RETRY_INTERVAL = 200.milliseconds

        /**
         * Longer than the 4 s after which [FaultyStore] applies a late write plus the time of the attempts in between.
         */
        val MAX_WRITE_DELAY = 8.seconds
    }
}

/** Revokes leases that were not renewed for the time to live plus 1 s, as another VM would do. */
internal suspend fun ConfigurationSimulation.revokeExpiredLeases() {
    val since = HashMap<String, Pair<StoredObject, Duration>>()
    while (true) {
        for (name in vms.keys) {
            val stored = platform.objects.peek(leaseKey(name)) ?: continue
            val known = since[name]?.takeIf { it.first.version == stored.version }
                ?: (stored to now()).also { since[name] = it }
            val lease = leaseJson.decodeFromString<Lease>(stored.value)
            val isExpired = now() - known.second > SimulatedProcess.TIME_TO_LIVE + 1.seconds && !lease.isRevoked
            if (isExpired) {
                val text = leaseJson.encodeToString(lease.copy(isRevoked = true))
                platform.put(stored.key, text, stored.version, nextNonce()).get()
            }
        }
        delay(500.milliseconds)
    }
}

/**
 * Change that adds account `a<number>` and sets the rate of the accounts `left` and `right` to [number]. Different
 * rates of these two would show that a configuration was applied in part.
 */
internal fun change(number: Int): (Configuration) -> Result<Configuration, Nothing> = { before ->
    val accounts = listOf("left", "right").associateWith {
        ClientAccount(it, ratePerSecond = number.toDouble(), burst = 1.0)
    }
    val filler = (before.organisations["org"]?.accounts.orEmpty()) + ("a$number" to ClientAccount("a$number", 1.0, 1.0))
    Ok(
        before.copy(
            generation = before.generation + 1,
            organisations = mapOf("org" to OrganisationConfiguration(accounts = filler + accounts)),
        ),
    )
}
