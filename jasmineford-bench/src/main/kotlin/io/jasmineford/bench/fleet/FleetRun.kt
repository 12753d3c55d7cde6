package io.jasmineford.bench.fleet

import io.jasmineford.core.address.AddressQuery
import io.jasmineford.core.address.rankVms
import io.jasmineford.core.config.Configuration
import io.jasmineford.core.config.Deployment
import io.jasmineford.core.config.DeploymentKind
import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.config.OrganisationConfiguration
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.ServiceState
import io.jasmineford.core.lease.Lease
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.lease.shardOf
import io.jasmineford.core.limit.AccountRate
import io.jasmineford.core.limit.Admission
import io.jasmineford.core.limit.TokenBucket
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.program.shardName
import io.jasmineford.standin.engine.FakeEngine
import io.jasmineford.standin.platform.FakeObjectStore
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Times of a run. The first zone is out of service from [zoneOut] to [zoneIn]. */
data class FleetTimes(
    val zoneOut: Duration = 60.seconds,
    val zoneIn: Duration = 120.seconds,
    val end: Duration = 180.seconds,
    val requestTimeout: Duration = 30.seconds,
)

/** Simulates a deployment in virtual time: callers, entry VMs with the product's state machines, and engines. */
class FleetRun(
    internal val shape: DeploymentShape,
    private val seed: Long,
    makeLimits: FleetLimitsFactory,
    internal val times: FleetTimes = FleetTimes(),
) {
    internal val random = Random(seed)
    internal val time = VirtualTime()
    internal val record = FleetRecord()
    private val store = FakeObjectStore()
    private var nonce = 0L
    internal val deployment = ScopedName(ORGANISATION, "engines")
    private val endpoints = shape.zones.flatMap { zone ->
        (1..shape.enginesPerZone).map { Endpoint("$zone-engine-$it", "$zone-engine-$it:80", zone) }
    }
    internal val engines = endpoints.associate {
        it.address to EngineRunner(time, FakeEngine(it.name, random = Random(seed + it.name.hashCode())))
    }
    private val limits = makeLimits(time, shape.zones.size * shape.vmsPerZone) { name ->
        shape.accountShares.indices.find { accountName(it).toString() == name }?.let(::rateOf)
    }
    internal val vms: List<SimulatedVm> = shape.zones
        .flatMap { zone -> (1..shape.vmsPerZone).map { zone to "$zone-$it" } }
        .mapIndexed { index, (zone, name) ->
            SimulatedVm(name, zone, time, store, { "n${nonce++}" }, limits.limiters[index])
        }
    private val leases = vms.map { Lease(VmIdentity(it.name, it.zone, it.name, it.name, it.name), 1, 1) }
    private var published = Configuration(
        generation = 1,
        organisations = mapOf(ORGANISATION to OrganisationConfiguration(deployments = deployments())),
    )
    internal val queued = IntArray(shape.accountShares.size)
    private val referenceBuckets = HashMap<Int, TokenBucket>()

    /** Runs to the end and returns the observations. */
    fun run(): FleetRecord {
        vms.forEach { it.configure(published) }
        time.at(times.zoneOut) { publish(ServiceState(zonesOut = setOf(shape.zones.first()))) }
        time.at(times.zoneIn) { publish(ServiceState()) }
        time.every(LIMIT_STEP, times.end + times.requestTimeout) { limits.step() }
        time.every(1.seconds, times.end) { record.queues += time.now to queued.toList() }
        startNext()
        time.runUntil(times.end + times.requestTimeout)
        return record
    }

    /** VM that owns the programs of the tree of [program]. */
    internal fun ownerOf(program: ProgramId): SimulatedVm = vms[shardOf(program.shardName, vms.size)]

    /** VM that a caller in [zone] uses for [program], by the address list of a random VM. */
    internal fun entryOf(program: ProgramId, zone: String): SimulatedVm {
        val state = vms.random(random).configuration.current.serviceState
        val query = AddressQuery(program.account, program.name, ownerOf(program).name, zone)
        val best = rankVms(leases, state, query).first()
        return vms.first { it.name == best.identity.vm }
    }

    /** One-way network delay; within a zone, a fifth of the delay between two zones. */
    internal fun delay(from: String, to: String): Duration = if (from == to) shape.zoneDelay / 5 else shape.zoneDelay

    /** Rate limit of [account], which is well above what it sends, so that every refusal is wrongful. */
    internal fun rateOf(account: Int): AccountRate {
        val turns = (shape.turns.first + shape.turns.last) / 2.0
        val sent = shape.programsPerSecond * shape.accountShares[account] * turns
        return AccountRate(ratePerSecond = sent * RATE_HEADROOM, burst = (sent * RATE_HEADROOM * 2).coerceAtLeast(MIN_BURST))
    }

    /** Offers a request to the limiter of [vm] until it is admitted or its deadline has passed. */
    internal fun admit(vm: SimulatedVm, account: Int, onAdmitted: () -> Unit) {
        record.offered++
        val rate = rateOf(account)
        val isWithinRate = referenceBuckets
            .getOrPut(account) { TokenBucket(rate.ratePerSecond, rate.burst, time.now) }
            .tryTake(time.now)
        offer(vm, account, deadline = time.now + times.requestTimeout, isWithinRate, onAdmitted)
    }

    /** Counts a dispatch as late when the zone has been out of service for longer than invariant I10 allows. */
    internal fun recordDispatch(endpoint: Endpoint) {
        val outFor = time.now - times.zoneOut
        val isOut = endpoint.zone == shape.zones.first() && time.now < times.zoneIn
        if (isOut && outFor > DRAIN_LIMIT) record.lateWork++
    }

    private fun offer(vm: SimulatedVm, account: Int, deadline: Duration, isWithinRate: Boolean, onAdmitted: () -> Unit) {
        when (val admission = vm.limiter.admit(accountName(account), rateOf(account))) {
            Admission.Admitted -> onAdmitted()
            is Admission.Wait -> if (time.now + admission.delay <= deadline) {
                time.after(maxOf(admission.delay, MIN_RETRY_DELAY)) { offer(vm, account, deadline, isWithinRate, onAdmitted) }
            } else if (isWithinRate) {
                record.wronglyRefused++
            }
        }
    }

    private fun accountName(account: Int) = ScopedName(ORGANISATION, "account-$account")

    private fun startNext() {
        val gap = -kotlin.math.ln(1 - random.nextDouble()) / shape.programsPerSecond
        time.after(gap.seconds) {
            if (time.now > times.end) return@after
            ProgramRun(this, pickAccount(), Random(random.nextLong())).start()
            startNext()
        }
    }

    private fun pickAccount(): Int {
        var left = random.nextDouble() * shape.accountShares.sum()
        return shape.accountShares.indices.first { index ->
            left -= shape.accountShares[index]
            left <= 0 || index == shape.accountShares.lastIndex
        }
    }

    /** Each VM applies the change at its next poll of the configuration head. */
    private fun publish(state: ServiceState) {
        published = published.copy(generation = published.generation + 1, serviceState = state)
        val current = published
        vms.forEach { vm -> time.after(CONFIGURATION_POLL * random.nextDouble()) { vm.configure(current) } }
    }

    private fun deployments() =
        mapOf(deployment.name to Deployment(deployment.name, DeploymentKind.MODEL, endpoints))

    internal companion object {
        const val ORGANISATION = "bench"
        const val RATE_HEADROOM = 1.6
        const val MIN_BURST = 10.0
        val CONFIGURATION_POLL = 500.milliseconds
        val DRAIN_LIMIT = 2.seconds

        /** Minimum retry delay; a delay rounded down to 0 would repeat the offer at the same time forever. */
        val MIN_RETRY_DELAY = 10.microseconds
    }
}
