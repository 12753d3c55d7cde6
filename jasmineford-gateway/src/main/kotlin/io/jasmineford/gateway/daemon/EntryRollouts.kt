package io.jasmineford.gateway.daemon

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.peer.EntryExchange
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.rollout.RolloutControl
import io.jasmineford.gateway.rollout.RolloutEffects
import io.jasmineford.gateway.rollout.RolloutFleet
import io.jasmineford.gateway.rollout.RolloutFormat
import io.jasmineford.gateway.rollout.StatusWrite
import io.jasmineford.gateway.rollout.StoredOrder
import io.jasmineford.gateway.rollout.VersionGate
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectMirror
import io.jasmineford.gateway.store.StoreContact
import io.jasmineford.gateway.store.StoredObject

/**
 * Parts of an entry daemon that rollouts use.
 *
 * @property directory endpoints with their calls in flight.
 * @property contact age of the latest contact with the store.
 */
internal class RolloutSources(
    val directory: EndpointDirectory,
    val contact: () -> StoreContact,
    val membership: () -> Membership,
    val exchange: () -> EntryExchange,
)

/**
 * Rollouts of an entry daemon. Without bounds in the settings nothing is watched, sent or written.
 *
 * @param format form of orders and status in the store; null where rollouts are not in use.
 */
internal class EntryRollouts(
    private val node: NodeRuntime,
    format: RolloutFormat?,
    private val metrics: CallMetrics,
    private val sources: RolloutSources,
) {
    /** Decides which versions get calls. */
    val gate = VersionGate(node.clock, node.settings.rollouts) { key, total ->
        val selection = sources.exchange().selection
        val rest = if (selection.rankFor(key) < total % selection.entryCount) 1 else 0
        total / selection.entryCount + rest
    }
    private val active = format?.takeIf { node.settings.rollouts != null }?.let(::Active)

    /** Starts to watch the orders. */
    fun start() {
        active?.mirror?.start()
    }

    /** Adds to [heartbeat] what [receiver] has to know of open rollouts. */
    fun addTo(heartbeat: Heartbeat, receiver: Peer): Heartbeat =
        active?.control?.addTo(heartbeat, receiver) ?: heartbeat

    /** Applies the latest heartbeat of [peer]. */
    fun onHeartbeat(peer: Peer) {
        active?.control?.onHeartbeat(peer)
    }

    /** Does the periodic work. */
    fun tick() {
        active?.control?.tick()
    }

    /** Registers the metrics of rollouts where they are in use. */
    fun registerMetrics() {
        val control = active?.control ?: return
        metrics.gauge("jasmineford_open_rollouts", "Rollouts without a final state") { control.open.size.toDouble() }
        metrics.gauge("jasmineford_rollout_calls", "Calls sent during the latest rollouts") {
            gate.rollouts.values.sumOf { it.usage.sent }.toDouble()
        }
        metrics.gauge("jasmineford_rollout_new_calls", "Calls among them sent to the new versions") {
            gate.rollouts.values.sumOf { it.usage.sentToNew }.toDouble()
        }
    }

    private inner class Active(private val format: RolloutFormat) {
        val mirror: ObjectMirror = ObjectMirror(
            kind = ObjectKind.ROLLOUT,
            context = node.mirrorContext,
            watchWait = Membership.WATCH_WAIT,
        ) { apply(it) }
        private val write = StatusWrite { service, status, revision, onReply ->
            node.store.replaceStatus(ObjectKind.ROLLOUT, service, format.status(status), revision, onReply)
        }
        val control: RolloutControl = RolloutControl(
            clock = node.clock,
            gate = gate,
            directory = sources.directory,
            fleet = RolloutFleet(
                self = node.self,
                peers = { sources.membership().peers },
                exchange = sources.exchange,
                contactAge = { sources.contact().age() },
                storeOutage = { mirror.outageDuration() },
            ),
            effects = RolloutEffects(
                write = write,
                read = { mirror.probe() },
                onDecision = metrics::rolloutDecision,
                announce = { sources.membership().sendHeartbeats() },
            ),
            eventLog = node.log,
        )

        private fun apply(objects: Collection<StoredObject>) {
            val orders = ArrayList<StoredOrder>()
            val unreadable = HashSet<String>()
            objects.forEach { stored ->
                format.order(stored).onOk { orders.add(StoredOrder(stored.revision, it)) }.onErr {
                    unreadable.add(stored.name)
                    val at = stored.revision
                    node.log.event("rollout-unreadable", "object" to stored.name, "revision" to at, "reason" to it)
                }
            }
            control.applyOrders(orders, unreadable)
        }
    }
}
