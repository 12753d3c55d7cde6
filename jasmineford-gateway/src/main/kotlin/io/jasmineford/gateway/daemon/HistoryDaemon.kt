package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.http.MemoryBudget
import io.jasmineford.gateway.http.ProcessResources
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.metrics.MetricsServer
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.HistoryBudget
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryLog
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryServer
import io.jasmineford.gateway.turn.nextGroup
import io.jasmineford.gateway.turn.proposedFirstGroup
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
        clock = node.clock,
        budget = HistoryBudget.of(Runtime.getRuntime().maxMemory(), node.settings.diskBytes),
        onControl = { node.loop.execute(it) },
    )
    private val replicator = HistoryReplicator(node.settings.name, history) { member ->
        HistoryConnection(node.group, member, node.clock, node.log)
    }
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
    private val expirer = HistoryExpirer(node, history, membership)
    private val observer = GroupObserver(node, history, membership, retirement)

    /** Loads the log and opens the sockets. Called outside the event loop; all other functions run on it. */
    fun open() {
        history.start(node.settings.isFirstStart)
        val unread = MemoryBudget(MAX_UNREAD_BYTES, node.clock)
        val resources = node.resources.listener(ProcessResources.HISTORY_SHARE, unread)
        HistoryServer(node.group, history, node.log, resources).open(node.settings.peerAddress)
        membership.open()
        val metrics = CallMetrics()
        metrics.gauge("jasmineford_history_entries", "Entries held") { history.size.toDouble() }
        metrics.gauge("jasmineford_history_complete", "1 when the disk holds all") {
            if (history.status.isComplete) 1.0 else 0.0
        }
        metrics.gauge("jasmineford_history_used_ratio", "Share of the memory or disk for entries, the larger one") {
            history.usedShare
        }
        metrics.observe(node.resources)
        MetricsServer(node.group, node.log, metrics, node.resources.listener(ProcessResources.METRICS_SHARE))
            .open(node.settings.metricsAddress)
    }

    /** Registers this daemon, starts the mirrors of the store and the periodic work. */
    fun start() {
        membership.start()
        retirement.start()
        expirer.start()
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
            proposedFirstGroup(history.status, observer.observe(others))?.let(membership.storedGroup::propose)
        } else {
            applyGroup(group, others)
            if (node.clock.now() - proposedAt > PROPOSAL_INTERVAL) proposeChange(group, others)
            retirement.reportIfCompleted(group)
        }
    }

    private fun proposeChange(group: HistoryGroup, others: List<Peer>) {
        // A daemon that joins and forgets that it was outside before can't tell what it acknowledged from a lost disk.
        if (!history.isStatusSynced) return
        val next = nextGroup(group, observer.observe(others)) ?: return
        proposedAt = node.clock.now()
        membership.storedGroup.propose(next)
    }

    /**
     * Applies [group] to this daemon. A voter that is not complete copies the entries of the other voters under the
     * same epoch, and those of earlier voters while too few others are complete. A voter also copies from machines that
     * are being retired.
     */
    private fun applyGroup(group: HistoryGroup, others: List<Peer>) {
        val isVoter = node.settings.name in group.voters
        if (group.epoch != appliedEpoch) {
            appliedEpoch = group.epoch
            replicator.restart()
        }
        if (group.epoch >= history.status.epoch) {
            history.updateStatus(history.status.inGroup(group.stampFor(node.settings.name)))
        }
        val isFilling = isVoter && !history.status.isComplete && group.epoch == history.status.epoch
        val sources = if (isFilling) sourceNames(group, others) else emptySet()
        others.forEach { peer ->
            val name = peer.member.name
            if (name in sources || (isVoter && name in retirement.names)) replicator.copyFrom(peer, group)
        }
        // Complete voters copy from a retiring machine, too, and hold all entries of the groups before then.
        val mayHoldMore = isVoter && history.status.epoch == group.epoch && history.status.copiedAt < group.epoch
        if (mayHoldMore && group.isCopyComplete(node.settings.name, history.status, replicator.sources)) {
            history.completeCopy()
        }
    }

    /** Daemons to copy from: those that were not complete when they were copied may be complete now. */
    private fun sourceNames(group: HistoryGroup, others: List<Peer>): Set<String> {
        val complete = observer.completeAndHeard(others)
        val earlier = group.earlier.flatMap { it.keys }
        val names = if (group.voters.count { it in complete } < group.majority) group.voters + earlier else group.voters
        return names.filter { replicator.sources[it]?.isComplete != true }.toSet()
    }

    private companion object {
        /** Period in which the group is checked and copies are started. */
        val TICK_PERIOD = 200.milliseconds

        /** Time between proposals, within which the reply and the change of the stored group arrive. */
        val PROPOSAL_INTERVAL = 600.milliseconds

        val CLEANUP_PERIOD = 20.seconds

        /** Replies that are not read yet; most are far below the 1 MB of a copy reply. */
        const val MAX_UNREAD_BYTES = 16L * 1024 * 1024

        /** Time for replies in flight. */
        val REPLY_FLUSH_TIME = 300.milliseconds
    }
}
