package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.PoisonCallDetector
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerTable

/** Load, usage and crash state of an entry daemon, which entry daemons exchange in heartbeats. */
internal class EntryState(
    private val node: NodeRuntime,
    private val peers: () -> PeerTable,
) {
    /** Endpoints with their calls in flight. */
    val directory = EndpointDirectory(node.clock)

    /** Number of calls by program. */
    val activity = ProgramActivity(node.clock)

    /** Requests that repeatedly broke endpoints. */
    val poisonCalls = PoisonCallDetector(node.clock)

    /** Rate limits of the client accounts. */
    val rateLimiter = AccountRateLimiter(
        clock = node.clock,
        tolerance = node.settings.bounds.rateLimitTolerance,
        unresponsiveDaemons = { peers().unresponsiveEntryCount() },
        daemonCount = { peers().entryCount() },
    )

    /** Heartbeat with this daemon's state and the store contact and configuration version of [view]. */
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
            uses = rateLimiter.usage(),
            crashes = poisonCalls.counts(),
            programs = activity.takeChanges(),
        )
    }

    /** Applies the latest heartbeat of [peer]. */
    fun applyHeartbeat(peer: Peer, view: StoreView) {
        val heartbeat = peer.heartbeat ?: return
        rateLimiter.applyPeerUsage(heartbeat.from, heartbeat.incarnation, heartbeat.uses) {
            view.config?.accounts?.get(it)
        }
        poisonCalls.mergeCounts(heartbeat.crashes)
        activity.applyPeerCounts(heartbeat.from, heartbeat.programs)
        // A peer with a newer configuration version confirms that version, not the one in force here.
        val confirmation = peer.storeContact()?.takeIf { it.configVersion <= (view.config?.version ?: -1) }
        if (confirmation != null) view.contact.confirm(confirmation.confirmedAt)
        countInFlight()
    }

    /** Sums the calls in flight of the other live daemons for each endpoint. */
    fun countInFlight() {
        val table = peers()
        val entries = table.all.filter { it.member.isEntry && table.isAlive(it) }
        directory.all.forEach { state ->
            state.inFlightAtPeers = entries.sumOf { it.heartbeat?.inFlight?.get(state.endpoint.id) ?: 0 }
        }
    }
}
