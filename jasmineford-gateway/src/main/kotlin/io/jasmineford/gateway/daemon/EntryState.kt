package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.PoisonCallDetector
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerTable

/** What an entry daemon knows by itself and shares with the others in heartbeats. */
internal class EntryState(
    private val node: NodeRuntime,
    private val peers: () -> PeerTable,
) {
    /** Endpoints and this daemon's calls at them. */
    val directory = EndpointDirectory(node.clock)

    /** Calls by program. */
    val activity = ProgramActivity(node.clock)

    /** Calls that break endpoints. */
    val suspects = PoisonCallDetector(node.clock)

    /** Use of allotments. */
    val meter = AccountRateLimiter(
        clock = node.clock,
        tolerance = node.settings.bounds.allotments,
        unresponsiveDaemons = { peers().silentEntryCount() },
        daemonCount = { peers().entryCount() },
    )

    /** Heartbeat with this daemon's state and what it knows from the store in [view]. */
    fun heartbeat(view: StoreView, isReady: Boolean, isLeaving: Boolean): Heartbeat {
        val age = view.contact.age()
        return Heartbeat(
            from = node.self.name,
            incarnation = node.incarnation,
            sequence = 0,
            isReady = isReady,
            isLeaving = isLeaving,
            contactAgeMillis = if (age.isFinite()) age.inWholeMilliseconds else -1,
            configVersion = view.config?.version ?: -1,
            inFlight = directory.all.filter { it.inFlight > 0 }.associate { it.endpoint.id to it.inFlight },
            uses = meter.usage(),
            crashes = suspects.counts(),
            programs = activity.takeChanges(),
        )
    }

    /** Takes what [peer] told. */
    fun hear(peer: Peer, view: StoreView) {
        val heartbeat = peer.heartbeat ?: return
        meter.applyPeerUsage(heartbeat.from, heartbeat.incarnation, heartbeat.uses) { view.config?.accounts?.get(it) }
        suspects.mergeCounts(heartbeat.crashes)
        activity.applyPeerCounts(heartbeat.from, heartbeat.programs)
        // A peer with a newer version proves that this daemon's version is not the store's.
        val proof = peer.contact()?.takeIf { it.configVersion <= (view.config?.version ?: -1) }
        if (proof != null) view.contact.prove(proof.provenAt)
        countInFlight()
    }

    /** Adds up the other daemons' calls at each endpoint. */
    fun countInFlight() {
        val table = peers()
        val entries = table.all.filter { it.member.isEntry && table.isHeard(it) }
        directory.all.forEach { state ->
            state.inFlightAtPeers = entries.sumOf { it.heartbeat?.inFlight?.get(state.endpoint.id) ?: 0 }
        }
    }
}
