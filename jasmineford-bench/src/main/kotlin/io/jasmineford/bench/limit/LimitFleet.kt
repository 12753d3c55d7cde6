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

/** How VMs share a rate. */
internal enum class Sharing { SLICES, STATIC_DIVISION, LOCAL_LIMIT }

/** Requests of one account. */
internal class AccountLoad(val account: ScopedName, val rate: AccountRate) {
    /** Times at which requests were accepted on any VM. */
    val accepted = mutableListOf<Duration>()
    var offered = 0
    var refused = 0
}

/**
 * Entry VMs that admit requests of [loads] in virtual time. A request waits at its VM until [deadline] has passed; one
 * that was at a VM when it stopped is neither accepted nor refused.
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

    /** The VM that may act for the bucket of [load], or null. */
    fun ownerOf(load: AccountLoad): VirtualVm? =
        fleet.vms.find { it.isRunning && it.membership.isActiveOwner(shardOf("${load.account}", shards)) }

    /** Adds a request of [load] at [vm]. */
    fun offer(load: AccountLoad, vm: VirtualVm) {
        load.offered++
        node(vm).queues.getValue(load).addLast(fleet.time)
    }

    /** Adds requests of a Poisson process of [perSecond] for one step, each at one of [at]. */
    fun offerAtRandom(load: AccountLoad, perSecond: Double, at: List<VirtualVm>) {
        val perStep = perSecond * STEP.inWholeMicroseconds / MICROS_A_SECOND
        var left = kotlin.math.exp(-perStep)
        var draw = random.nextDouble()
        while (draw > left && at.isNotEmpty()) {
            offer(load, at.random(random))
            draw *= random.nextDouble()
            left = kotlin.math.exp(-perStep)
        }
    }

    /** One step of [STEP]. */
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
        // Requests wait in turn; those far behind need not try in the same step.
        var refusals = 0
        while (queue.isNotEmpty() && refusals < TRIES_A_STEP) {
            if (node.limiter.admit(load.account, load.rate) is Admission.Admitted) {
                queue.removeFirst()
                load.accepted += fleet.time
            } else {
                refusals++
            }
        }
    }

    private fun node(vm: VirtualVm): Node = nodes.getOrPut(vm) { Node(vm) }

    companion object {
        /** Also the delay of a message between VMs, a little more than between two zones. */
        val STEP = 10.milliseconds
        private const val TRIES_A_STEP = 10
        private const val MICROS_A_SECOND = 1_000_000.0
    }
}

/** Requests that some window holds beyond `rate * t + burst`; zero when there are none. */
internal fun overshoot(load: AccountLoad): Double {
    var level = load.rate.burst
    var last = Duration.ZERO
    var worst = 0.0
    for (at in load.accepted) {
        val refill = (at - last).inWholeMicroseconds / 1e6 * load.rate.ratePerSecond
        level = minOf(load.rate.burst, level + refill) - 1.0
        last = at
        worst = maxOf(worst, -level)
    }
    return if (worst < ROUNDING) 0.0 else worst
}

private const val ROUNDING = 1e-6
