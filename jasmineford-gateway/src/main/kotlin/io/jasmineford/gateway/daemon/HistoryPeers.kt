package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer

/** The other history daemons, as a history daemon needs to hear of them. */
internal class HistoryPeers(private val self: Member, private val membership: Membership) {
    private val voters: List<String>? get() = membership.storedGroup.group?.voters

    /** Peers that get heartbeats: the voters' liveness concerns every history daemon, that of the others the voters. */
    fun heartbeatTargets(): List<Peer> {
        val others = membership.peers.historyDaemons()
        val group = voters
        return if (group == null || self.name in group) others else others.filter { it.member.name in group }
    }

    /** Whether this daemon is the first live voter by name, which removes the registrations of lost history daemons. */
    fun isFirstVoter(): Boolean {
        val group = voters.orEmpty()
        return self.name in group && membership.peers.historyDaemons().none {
            it.member.name in group && it.member.name < self.name && membership.peers.isAlive(it)
        }
    }
}
