package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock

/** An order as read from the store at [revision]. */
data class StoredOrder(val revision: Long, val order: RolloutOrder)

/**
 * Follows the orders in the store.
 *
 * The revision of an object also rises with each status, so an order is identified by the first revision at which it
 * was seen. An object with another version, without the status that it had, or open again after a final state is a new
 * order; another duration only moves the deadline.
 *
 * @param onEvent called with the name of an event and its rollout.
 */
internal class OrderTracker(
    private val clock: MonotonicClock,
    private val gate: VersionGate,
    private val onEvent: (name: String, rollout: RolloutProgress) -> Unit,
) {
    private val present = HashSet<String>()

    /**
     * Applies all orders that the store holds; an order that can't be read is not among [orders] but in [unreadable].
     */
    fun apply(orders: List<StoredOrder>, unreadable: Set<String> = emptySet()) {
        val services = orders.map { it.order.service }.toSet()
        (present - services - unreadable).forEach(::delete)
        orders.forEach(::update)
    }

    private fun update(stored: StoredOrder) {
        val order = stored.order
        val known = gate.rollouts[order.service]?.takeIf { order.service in present }
        present.add(order.service)
        if (known == null || isOther(known, order)) {
            val next = RolloutProgress(order, stored.revision, isExact = order.ownStatus == null, now = clock.now())
            gate.begin(next)
            onEvent("rollout-ordered", next)
            finish(next)
        } else {
            known.order = order
            known.revision = stored.revision
            finish(known)
        }
    }

    private fun isOther(known: RolloutProgress, order: RolloutOrder): Boolean {
        val hasLostStatus = known.order.ownStatus != null && order.ownStatus == null
        val isReopened = known.order.finalOutcome != null && order.finalOutcome == null
        return known.order.to != order.to || hasLostStatus || isReopened
    }

    private fun finish(rollout: RolloutProgress) {
        val outcome = rollout.order.finalOutcome
        if (outcome == null || rollout.outcome != null) return
        rollout.finish(outcome, clock.now())
        onEvent("rollout-finished", rollout)
    }

    /** Without its order, a version that was not completed gets no calls. */
    private fun delete(service: String) {
        present.remove(service)
        val rollout = gate.rollouts[service] ?: return
        if (rollout.outcome == null) rollout.finish(RolloutOutcome.ROLLED_BACK, clock.now())
        onEvent("rollout-deleted", rollout)
    }
}
