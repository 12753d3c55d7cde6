package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.metrics.MetricsServer
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.GroupObservation
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryLog
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryServer
import io.jasmineford.gateway.turn.HistoryStatus
import io.jasmineford.gateway.turn.firstGroup
import io.jasmineford.gateway.turn.nextGroup
import kotlinx.serialization.json.JsonElement
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Daemon that stores turns and token accounts on this machine's disk and replicates them with the other history
 * daemons.
 */
class HistoryDaemon(
    private val node: NodeRuntime,
    retirementStatus: (isCompleted: Boolean) -> JsonElement,
) {
    private val history = HistoryReplica(
        log = HistoryLog(
            Path.of(requireNotNull(node.settings.dataDirectory) { "a history daemon needs a data directory" })
        ),
        events = node.log,
        onControl = { node.loop.execute(it) },
    )
    private val replicator = HistoryReplicator(node, history)
    private val membership: Membership = Membership(
        node = node,
        policy = HeartbeatPolicy(
            targets = { historyPeers.heartbeatTargets() },
            content = { heartbeat() },
            onMembers = { membership.sendHeartbeats() },
        ),
    )
    private val historyPeers = HistoryPeers(node.self, membership)
    private var appliedEpoch = 0L
    private var proposedAt = -Duration.INFINITE
    private val retirement: Retirement = Retirement(node, history, membership, retirementStatus)

    /** Loads the log and opens the sockets. Called outside the event loop; all other functions run on it. */
    fun open() {
        history.start(node.settings.isFirstStart)
        HistoryServer(node.group, history, node.log).open(node.settings.peerAddress)
        membership.open()
        val metrics = CallMetrics()
        metrics.gauge("jasmineford_history_entries", "Entries held") { history.size.toDouble() }
        metrics.gauge("jasmineford_history_complete", "1 when the disk holds all") {
            if (history.status.isComplete) 1.0 else 0.0
        }
        MetricsServer(node.group, node.log, metrics).open(node.settings.metricsAddress)
    }

    /** Registers this daemon, starts the mirrors of the store and the periodic work. */
    fun start() {
        membership.start()
        retirement.start()
        node.every(TICK_PERIOD, ::tick)
        node.every(CLEANUP_PERIOD) { if (historyPeers.isFirstVoter()) membership.removeExpired() }
        node.log.event("started", "role" to "history", "name" to node.settings.name, "standing" to history.status)
    }

    /** Calls [onStopped] after a pause in which replies in flight are sent. */
    fun stop(onStopped: () -> Unit) = node.scheduler.after(REPLY_FLUSH_TIME, onStopped)

    private fun heartbeat() = Heartbeat(
        from = node.self.name,
        incarnation = node.incarnation,
        sequence = 0,
        isReady = history.status.isComplete,
        isLeaving = retirement.isThisMachine,
    )

    private fun tick() {
        val others = membership.peers.historyDaemons()
        val group = membership.storedGroup.group
        if (group == null) {
            if (node.settings.isFirstStart) firstGroup(situation(others))?.let(membership.storedGroup::propose)
        } else {
            applyGroup(group, others)
            if (node.clock.now() - proposedAt > PROPOSAL_INTERVAL) proposeChange(group, others)
            retirement.reportIfCompleted(group)
        }
    }

    private fun proposeChange(group: HistoryGroup, others: List<Peer>) {
        val next = nextGroup(group, situation(others)) ?: return
        proposedAt = node.clock.now()
        membership.storedGroup.propose(next)
    }

    private fun situation(others: List<Peer>) = GroupObservation(
        self = node.self,
        members = others.map { it.member } + node.self,
        unresponsive = others.filter(::isReplaceable).map { it.member.name }.toSet(),
        retiring = retirement.names,
        toleratedDiskLosses = node.settings.toleratedDiskLosses,
    )

    /**
     * Whether [peer] has sent no heartbeat for longer than a loss of single datagrams explains, since it is registered.
     */
    private fun isReplaceable(peer: Peer): Boolean {
        val limit = if (peer.member.zone == node.settings.zone) REPLACE_AFTER_IN_ZONE else REPLACE_AFTER_ELSEWHERE
        return node.clock.now() - peer.lastSeenAt > limit
    }

    /**
     * Applies [group] to this daemon. A voter whose disk is incomplete copies the entries of all other voters under the
     * same epoch and is complete then. A voter also copies from machines that are being retired.
     */
    private fun applyGroup(group: HistoryGroup, others: List<Peer>) {
        val isVoter = node.settings.name in group.voters
        if (group.epoch != appliedEpoch) {
            appliedEpoch = group.epoch
            replicator.restart()
        }
        if (group.epoch >= history.status.epoch) {
            // Majorities of a group without this daemon write entries that it misses, so it is no longer complete.
            history.updateStatus(HistoryStatus(group.epoch, history.status.isComplete && isVoter))
        }
        val isFilling = isVoter && !history.status.isComplete
        others.forEach { peer ->
            val name = peer.member.name
            val isSource = isFilling && name in group.voters && name !in replicator.completedSources
            if (isSource || (isVoter && name in retirement.names)) replicator.copyFrom(peer)
        }
        val sources = group.voters - node.settings.name
        if (isFilling && replicator.completedSources.containsAll(sources)) {
            history.updateStatus(history.status.copy(isComplete = true))
        }
    }

    private companion object {
        /** Period in which the group is checked and copies are started. */
        val TICK_PERIOD = 200.milliseconds

        /**
         * Time without heartbeats after which a voter is replaced by a daemon of its zone; short, because the entries
         * must be copied soon after a machine has started.
         */
        val REPLACE_AFTER_IN_ZONE = 1200.milliseconds

        /** Time without heartbeats after which a voter is replaced by a daemon of another zone. */
        val REPLACE_AFTER_ELSEWHERE = 3.seconds

        /** Time between proposals, within which the reply and the change of the stored group arrive. */
        val PROPOSAL_INTERVAL = 600.milliseconds

        val CLEANUP_PERIOD = 20.seconds

        /** Time for replies in flight. */
        val REPLY_FLUSH_TIME = 300.milliseconds
    }
}
