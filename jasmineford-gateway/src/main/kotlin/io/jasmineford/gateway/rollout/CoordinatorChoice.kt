package io.jasmineford.gateway.rollout

import io.jasmineford.gateway.peer.PeerRole

/** A daemon that may coordinate a rollout; [isCutOff] tells whether it can't reach the store. */
internal data class Candidate(val name: String, val isCutOff: Boolean)

/**
 * Chooses the coordinator of a rollout: the first relay by name, of those that reach the store if there are any. Views
 * may differ for a moment, so that there are two; phases that only advance and conditional writes make that harmless.
 */
internal class CoordinatorChoice(private val fleet: RolloutFleet, private val isCutOff: () -> Boolean) {
    /** Whether this daemon coordinates [rollout]. */
    fun isOwn(rollout: RolloutProgress): Boolean {
        if (!fleet.exchange().isRelay()) return false
        val own = Candidate(fleet.self.name, isCutOff())
        return amongPeers(rollout)?.let { ORDER.compare(own, it) < 0 } ?: true
    }

    /** The first candidate among the relays that are heard and know [rollout], without this daemon. */
    fun amongPeers(rollout: RolloutProgress): Candidate? {
        val peers = fleet.peers()
        return peers.all.filter {
            it.member.isEntry && peers.isHeard(it) && fleet.exchange().roleOf(it) == PeerRole.RELAY
        }.mapNotNull { peer ->
            peer.heartbeat?.rollouts.orEmpty()
                .firstOrNull { it.service == rollout.order.service && it.isOpen(rollout) }
                ?.let { Candidate(peer.member.name, it.isCutOff) }
        }.minWithOrNull(ORDER)
    }

    private fun RolloutState.isOpen(rollout: RolloutProgress) = opened == rollout.opened && outcome == null

    private companion object {
        val ORDER = compareBy<Candidate>({ it.isCutOff }, { it.name })
    }
}
