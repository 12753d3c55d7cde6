package io.jasmineford.bench.limit

import io.jasmineford.bench.ownership.VirtualFleet
import io.jasmineford.bench.ownership.VirtualVm
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.lease.MembershipSettings
import io.jasmineford.core.lease.shardOf
import io.jasmineford.core.limit.AccountLimiter
import io.jasmineford.core.limit.AccountRate
import io.jasmineford.core.limit.Admission
import io.jasmineford.core.limit.StaticDivisionLimiter
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How VMs share the rate of an account. */
internal enum class Sharing { SLICES, STATIC_DIVISION, LOCAL_LIMIT }

/** Requests of one account and what became of them. */
internal class AccountLoad(val account: ScopedName, val rate: AccountRate) {
    /** Times at which any VM admitted a request, in order. */
    val admittedAt = mutableListOf<Duration>()
    var offered = 0
    var refused = 0
}

/**
 * Entry VMs that apply account rate limits in virtual time. A request that waits longer than [deadline] at its VM is
 * refused. A request that waits at a VM when the VM stops is neither admitted nor refused.
 *
 * @param losesMessage decides for each message between VMs whether it is lost.
 */
internal class LimitFleet(
    vms: Int,
    private val sharing: Sharing,
    val loads: List<AccountLoad>,
    private val deadline: Duration,
    private val random: Random,
    settings: MembershipSettings = MembershipSettings(shards = 24),
    losesMessage: () -> Boolean = { false },
) {
    val fleet = VirtualFleet(vms, settings)
    private val shards = settings.shards
    private val nodes = HashMap<VirtualVm, Node>()
    private val network = SliceNetwork(
        fleet = fleet,
        shards = shards,
        rateOf = { name -> loads.find { "${it.account}" == name }?.rate },
        losesMessage = losesMessage,
    )

    private inner class Node(vm: VirtualVm) {
        val limiter: AccountLimiter = when (sharing) {
            Sharing.SLICES -> network.limiterOf(vm)
            Sharing.STATIC_DIVISION -> StaticDivisionLimiter(vm.clock) { vm.membership.leases().size }
            Sharing.LOCAL_LIMIT -> StaticDivisionLimiter(vm.clock) { 1 }
        }
        val queues = loads.associateWith { ArrayDeque<Duration>() }
    }

    /** The VM that owns the token bucket of [load], or null while no VM does. */
    fun ownerOf(load: AccountLoad): VirtualVm? =
        fleet.vms.find { it.isRunning && it.membership.mayAct(shardOf("${load.account}", shards)) }

    /** Queues a request of [load] at [vm]. */
    fun offer(load: AccountLoad, vm: VirtualVm) {
        load.offered++
        node(vm).queues.getValue(load).addLast(fleet.time)
    }

    /** Queues the requests of one step of a Poisson process with rate [perSecond], each at a random VM of [at]. */
    fun offerPoisson(load: AccountLoad, perSecond: Double, at: List<VirtualVm>) {
        val perStep = perSecond * STEP.inWholeMicroseconds / MICROSECONDS_PER_SECOND
        var threshold = kotlin.math.exp(-perStep)
        var draw = random.nextDouble()
        while (draw > threshold && at.isNotEmpty()) {
            offer(load, at.random(random))
            draw *= random.nextDouble()
            threshold = kotlin.math.exp(-perStep)
        }
    }

    /** Advances time by [STEP], delivers messages and admits requests. */
    fun step() {
        fleet.advance(STEP)
        fleet.poll()
        network.deliver()
        fleet.vms.filter { it.isRunning }.forEach { vm ->
            val node = node(vm)
            loads.forEach { admit(node, it) }
        }
        if (sharing == Sharing.SLICES) network.poll()
    }

    private fun admit(node: Node, load: AccountLoad) {
        val queue = node.queues.getValue(load)
        while (queue.isNotEmpty() && fleet.time - queue.first() > deadline) {
            queue.removeFirst()
            load.refused++
        }
        // The queue is FIFO, so after a few refusals the requests behind need not be tried in the same step.
        var refusals = 0
        while (queue.isNotEmpty() && refusals < MAX_REFUSALS_PER_STEP) {
            if (node.limiter.admit(load.account, load.rate) is Admission.Admitted) {
                queue.removeFirst()
                load.admittedAt += fleet.time
            } else {
                refusals++
            }
        }
    }

    private fun node(vm: VirtualVm): Node = nodes.getOrPut(vm) { Node(vm) }

    companion object {
        /** Length of a step; also the delay of a message between VMs, a little above that between two zones. */
        val STEP = 10.milliseconds
        private const val MAX_REFUSALS_PER_STEP = 10
        private const val MICROSECONDS_PER_SECOND = 1_000_000.0
    }
}

/** Largest number of admitted requests in any time window of length t beyond `rate * t + burst`; 0 within the limit. */
internal fun overshoot(load: AccountLoad): Double {
    var level = load.rate.burst
    var last = Duration.ZERO
    var worst = 0.0
    for (at in load.admittedAt) {
        val refill = (at - last).inWholeMicroseconds / 1e6 * load.rate.ratePerSecond
        level = minOf(load.rate.burst, level + refill) - 1.0
        last = at
        worst = maxOf(worst, -level)
    }
    return if (worst < ROUNDING_ERROR) 0.0 else worst
}

private const val ROUNDING_ERROR = 1e-6
