package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.GroupObservation
import io.jasmineford.gateway.turn.HistoryReplica
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a history daemon knows of the others from heartbeats when it decides on the group. */
internal class GroupObserver(
    private val node: NodeRuntime,
    private val history: HistoryReplica,
    private val membership: Membership,
    private val retirement: Retirement,
) {
    /** Observation of this daemon and of [others]. */
    fun observe(others: List<Peer>): GroupObservation {
        val self = node.self.name
        return GroupObservation(
            self = node.self,
            members = others.map { it.member } + node.self,
            unresponsive = others.filter(::isReplaceable).names(),
            retiring = retirement.names,
            toleratedDiskLosses = node.settings.toleratedDiskLosses,
            complete = others.filter(::isComplete).names() + listOfNotNull(self.takeIf { history.status.isComplete }),
            heard = others.filter(membership.peers::isHeard).names() + self,
        )
    }

    /** Names of those among [others] that are complete and have sent a heartbeat recently. */
    fun completeAndHeard(others: List<Peer>): Set<String> =
        others.filter { isComplete(it) && membership.peers.isHeard(it) }.names()

    private fun isComplete(peer: Peer) = peer.heartbeat?.isReady == true

    /**
     * Whether [peer] has sent no heartbeat for longer than a loss of single datagrams explains, since it is registered.
     */
    private fun isReplaceable(peer: Peer): Boolean {
        val limit = if (peer.member.zone == node.settings.zone) REPLACE_AFTER_IN_ZONE else REPLACE_AFTER_ELSEWHERE
        return node.clock.now() - peer.lastSeenAt > limit
    }

    private fun List<Peer>.names() = map { it.member.name }.toSet()

    private companion object {
        /**
         * Time without heartbeats after which a voter is replaced by a daemon of its zone; short, because the entries
         * must be copied soon after a machine has started.
         */
        val REPLACE_AFTER_IN_ZONE = 1200.milliseconds

        /** Time without heartbeats after which a voter is replaced by a daemon of another zone. */
        val REPLACE_AFTER_ELSEWHERE = 3.seconds
    }
}
