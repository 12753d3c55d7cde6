package io.jasmineford.bench.limit

import io.jasmineford.bench.ownership.VirtualFleet
import io.jasmineford.bench.ownership.VirtualVm
import io.jasmineford.core.limit.AccountRate
import io.jasmineford.core.limit.BucketOwner
import io.jasmineford.core.limit.LimitMessage
import io.jasmineford.core.limit.QuantityOwnership
import io.jasmineford.core.limit.SharedLimiter
import io.jasmineford.core.limit.SliceSettings

/**
 * The product's distributed rate limiters on all VMs of [fleet], with their messages in virtual time. The owner of an
 * account's token bucket lends parts of it (slices) to the other VMs.
 *
 * @param rateOf rate of the account with the given scoped name; null for an unknown account.
 * @param losesMessage decides for each message whether it is lost.
 */
internal class SliceNetwork(
    private val fleet: VirtualFleet,
    private val shards: Int,
    private val rateOf: (name: String) -> AccountRate?,
    private val losesMessage: () -> Boolean = { false },
) {
    private val nodes = HashMap<VirtualVm, Node>()
    private var inbox = mutableListOf<() -> Unit>()

    private inner class Node(val vm: VirtualVm) {
        private val ownership = QuantityOwnership(vm.membership, shards)
        val owner = BucketOwner(ownership, vm.clock, SliceSettings(), rateOf)
        val limiter = SharedLimiter(vm.name, ownership, owner, vm.clock, SliceSettings())
    }

    /** Rate limiter of [vm]. */
    fun limiterOf(vm: VirtualVm): SharedLimiter = node(vm).limiter

    /** Delivers the messages sent since the last call. */
    fun deliver() {
        val arrived = inbox
        inbox = mutableListOf()
        arrived.forEach { it() }
    }

    /** Sends all messages that are due on running VMs. */
    fun poll() {
        fleet.vms.filter { it.isRunning }.forEach { vm ->
            val node = node(vm)
            node.limiter.poll().forEach { send(node, it) }
        }
    }

    private fun send(from: Node, message: LimitMessage) = enqueue {
        val vm = fleet.vms.find { it.name == message.vm && it.isRunning } ?: return@enqueue
        val to = node(vm)
        when (message) {
            is LimitMessage.Borrow -> {
                val grant = to.owner.borrow(message.name, from.vm.name, message.request.units)
                enqueue { if (from.vm.isRunning) from.limiter.onGrant(message, grant) }
            }

            is LimitMessage.Return -> to.owner.returnSlice(message.name, message.slice.id, message.slice.unused)
            is LimitMessage.HandOver -> to.owner.receiveState(message.state)
        }
    }

    private fun enqueue(action: () -> Unit) {
        if (!losesMessage()) inbox += action
    }

    private fun node(vm: VirtualVm): Node = nodes.getOrPut(vm) { Node(vm) }
}
