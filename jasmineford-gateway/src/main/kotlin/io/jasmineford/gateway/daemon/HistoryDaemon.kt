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

/** Keeps turns and token accounts on this machine's disk and copies them from and to the other history daemons. */
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
    private val filler = HistoryFiller(node, history)
    private val membership: Membership = Membership(node, ::heartbeat, onHeard = {})
    private var followedEpoch = 0L
    private var proposedAt = -Duration.INFINITE
    private val retirement: Retirement = Retirement(node, history, membership, retirementStatus)

    /** Loads the log and opens the sockets; called outside the event loop, on which everything else runs. */
    fun open() {
        history.start(node.settings.isFirstStart)
        HistoryServer(node.group, history, node.log).open(node.settings.peer)
        membership.open()
        val metrics = CallMetrics()
        metrics.gauge("jasmineford_history_entries", "Entries held") { history.size.toDouble() }
        metrics.gauge("jasmineford_history_complete", "1 when the disk holds all") {
            if (history.status.isComplete) 1.0 else 0.0
        }
        MetricsServer(node.group, node.log, metrics).open(node.settings.metrics)
    }

    /** Starts to mirror the store and to copy. */
    fun start() {
        membership.start()
        retirement.start()
        node.every(COPY_PERIOD, ::tick)
        node.log.event("started", "role" to "history", "name" to node.settings.name, "standing" to history.status)
    }

    /** Stops the process after what is under way. */
    fun stop(onStopped: () -> Unit) = node.scheduler.after(STOP_PAUSE, onStopped)

    private fun heartbeat() = Heartbeat(
        from = node.self.name,
        incarnation = node.incarnation,
        sequence = 0,
        isReady = history.status.isComplete,
        isLeaving = retirement.isOwn,
    )

    private fun tick() {
        val others = membership.peers.histories()
        val group = membership.register.group
        if (group == null) {
            if (node.settings.isFirstStart) firstGroup(situation(others))?.let(membership.register::propose)
        } else {
            follow(group, others)
            if (node.clock.now() - proposedAt > PROPOSAL_PAUSE) change(group, others)
            retirement.check(group)
        }
    }

    private fun change(group: HistoryGroup, others: List<Peer>) {
        val next = nextGroup(group, situation(others)) ?: return
        proposedAt = node.clock.now()
        membership.register.propose(next)
    }

    private fun situation(others: List<Peer>) = GroupObservation(
        self = node.self,
        members = others.map { it.member } + node.self,
        unresponsive = others.filter(::isSilent).map { it.member.name }.toSet(),
        retiring = retirement.names,
        toleratedDisks = node.settings.toleratedDisks,
    )

    /** Not heard for longer than heartbeats are lost, and known for as long. */
    private fun isSilent(peer: Peer): Boolean {
        val limit = if (peer.member.zone == node.settings.zone) SILENT_IN_ZONE else SILENT_ELSEWHERE
        return node.clock.now() - peer.lastSignAt > limit
    }

    /**
     * Takes this daemon's place in [group]: a voter that is not complete copies from all other voters under the same
     * epoch.
     */
    private fun follow(group: HistoryGroup, others: List<Peer>) {
        val isVoter = node.settings.name in group.voters
        if (group.epoch != followedEpoch) {
            followedEpoch = group.epoch
            filler.startOver()
        }
        if (group.epoch >= history.status.epoch) {
            // Without a place in the group, what majorities agree on passes this daemon by.
            history.updateStatus(HistoryStatus(group.epoch, history.status.isComplete && isVoter))
        }
        val isFilling = isVoter && !history.status.isComplete
        others.forEach { peer ->
            val isSource = isFilling && peer.member.name in group.voters && peer.member.name !in filler.copied
            if (isSource || (isVoter && peer.member.name in retirement.names)) filler.copy(peer)
        }
        val sources = group.voters - node.settings.name
        if (isFilling && filler.copied.containsAll(sources)) {
            history.updateStatus(history.status.copy(isComplete = true))
        }
    }

    private companion object {
        /** Period of copies while the disk is being filled or a machine is emptied. */
        val COPY_PERIOD = 200.milliseconds

        /**
         * Silence after which a daemon of the same zone takes a voter's place; a machine must be filled soon after it
         * starts.
         */
        val SILENT_IN_ZONE = 1200.milliseconds

        /** Silence after which a daemon of another zone takes a voter's place. */
        val SILENT_ELSEWHERE = 3.seconds

        /** Pause between proposals: the reply and the change arrive before. */
        val PROPOSAL_PAUSE = 600.milliseconds

        /** Time for answers under way. */
        val STOP_PAUSE = 300.milliseconds
    }
}
