package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.limit.UnknownUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What a peer is to this daemon in the exchange of heartbeats. */
enum class PeerRole {
    /** Relays for other daemons, and exchanges with this daemon because it is a relay too. */
    RELAY,

    /** Uses this daemon as its relay. */
    LEAF,

    /** The relay that this daemon uses. */
    OWN_RELAY,

    /** Exchanges with every daemon by itself, as daemons of an older release do. */
    DIRECT,

    /** Its load reaches this daemon through another one, or not at all. */
    OTHER,
}

/**
 * Number of entry daemons that may be admitting calls, of those among them whose usage is not known, and the time for
 * which it is not known.
 */
private data class FleetCounts(val daemons: Int, val silent: Int, val unknown: UnknownUsage)

/**
 * Decides with which entry daemons this one exchanges heartbeats, and keeps what relays report about the others.
 *
 * Relays send to each other periodically. Any other daemon sends to its relay, which replies at once: its echo dates
 * the reply, and the rate follows the daemon's need. A relay forwards the load of its leaves to the other relays, and
 * the load of all other daemons to each leaf.
 *
 * @param pressure overload of this daemon, as told to the others.
 */
class EntryExchange(
    private val self: Member,
    private val peers: PeerTable,
    private val clock: MonotonicClock,
    private val pressure: () -> Double,
) {
    /** The registered entry daemons and the relays among them. */
    val selection = RelaySelection(self, clock)
    private val advertisedDaemons = AdvertisedDaemons(clock)
    private val reportedRelays = HashMap<Int, Duration>()
    private val counts = Cached(clock) {
        if (!peers.isLoaded) {
            // Nothing is known of the fleet, not even how many daemons there are.
            FleetCounts(daemons = 1, silent = 1, peers.unknownUsage)
        } else if (isRelay()) {
            FleetCounts(peers.entryCount(), peers.unresponsiveEntryCount(), peers.unknownUsage)
        } else {
            val report = reportOfRelay
            // This daemon hears its relay only, so that the other peers in its table seem to be gone.
            val daemons = relayUsage.daemons.takeIf { it > 0 } ?: selection.entryCount
            FleetCounts(
                daemons = daemons,
                silent = report?.silent ?: (daemons - 1),
                unknown = relayUsage.unknown(report, others = daemons - 1),
            )
        }
    }
    private val relayUsage = RelayUsage(clock)
    private val currentLeaves = Cached(clock) {
        peers.all.filter { it.heartbeat?.relay == self.name && peers.isHeard(it) }
    }
    private val roundTrips = ReportLag(clock)
    private var used: Member? = null
    private var relayChanges = 0

    /** Name of the relay to which the latest heartbeats were sent; null if this daemon was one itself. */
    private var targetRelay: String? = null
    private var usedSince = -Duration.INFINITE

    /** Daemons that use this one as their relay and were heard recently. */
    private val leaves: List<Peer> get() = currentLeaves.value

    /** The relay that this daemon uses; null when it is one itself. */
    private val relay: Member? get() = if (isRelay()) null else selection.relay()

    /** The latest heartbeat of this daemon's relay if it is recent. */
    private val reportOfRelay: Heartbeat?
        get() = relay?.let { peers.byName[it.name] }
            ?.takeIf { clock.now() - it.lastHeartbeatAt < REPORT_LIFETIME }
            ?.heartbeat?.takeIf { it.isFromRelay }

    private val heardRelays: List<Peer>
        get() {
            val since = clock.now() - RELAY_MEMORY
            return peers.all.filter { it.lastHeartbeatAt > since && it.heartbeat?.isFromRelay == true }
        }

    /** Whether this daemon relays: it is chosen to, or others use it because they suspect the chosen ones. */
    fun isRelay(): Boolean = selection.isRelay() || leaves.isNotEmpty()

    /** Applies the registrations of the peer table. */
    fun membersChanged() = selection.replaceEntries(peers.all.map { it.member }.filter { it.isEntry })

    /** Peers to which a heartbeat is due: the other relays, or the one relay of a daemon that is not a relay. */
    fun targets(): List<Peer> {
        suspectSilentRelay()
        val single = relay
        if (single?.name != targetRelay) relayChanges++
        targetRelay = single?.name
        if (single != null) return listOfNotNull(peers.byName[single.name])
        val chosen = (selection.defaultRelays + selection.ownRelays).mapNotNull { peers.byName[it.name] }
        reportedRelays.values.removeIf { clock.now() - it > RELAY_MEMORY }
        return (chosen + heardRelays + reportedRelays.keys.mapNotNull { peers.byShortId[it] }).distinct()
    }

    /** Records a heartbeat of [peer]; returns whether it expects a reply. */
    fun onHeartbeat(peer: Peer): Boolean {
        selection.trust(peer.member.name)
        val heartbeat = peer.heartbeat ?: return false
        val now = clock.now()
        val role = roleOf(peer)
        if (role == PeerRole.LEAF && peer !in leaves) currentLeaves.invalidate()
        if (heartbeat.isFromRelay) {
            heartbeat.ready.forEach { peers.byShortId[it]?.markRelayed(now, true, it in heartbeat.overloaded) }
            heartbeat.unready.forEach { peers.byShortId[it]?.markRelayed(now, false, it in heartbeat.overloaded) }
            heartbeat.relays.forEach { reportedRelays[it] = now }
        }
        if (role == PeerRole.OWN_RELAY) {
            advertisedDaemons.receive(heartbeat.advertised)
            relayUsage.onReport(peer, others = daemonCount() - 1)
            counts.invalidate()
        }
        val echoedSentAt = peer.echoedSentAt.takeIf { role != PeerRole.LEAF }
        if (echoedSentAt != null) roundTrips.record(echoedSentAt, isReply = role == PeerRole.OWN_RELAY)
        return role == PeerRole.LEAF
    }

    /** Role of [peer] by its latest heartbeat. */
    fun roleOf(peer: Peer): PeerRole {
        val name = peer.heartbeat?.relay
        return when {
            name == null -> PeerRole.DIRECT
            name == self.name -> PeerRole.LEAF
            name != peer.member.name -> PeerRole.OTHER
            isRelay() -> PeerRole.RELAY
            name == relay?.name -> PeerRole.OWN_RELAY
            else -> PeerRole.OTHER
        }
    }

    /** Number of times that this daemon has begun to use another relay. */
    val ownRelayChanges: Int get() = relayUsage.changes

    /** Number of entry daemons that may be admitting calls, this one included. */
    fun daemonCount(): Int = counts.value.daemons

    /** Number of entry daemons that may be admitting calls without their rate limit usage being known here. */
    fun silentCount(): Int = counts.value.silent

    /** Time for which the usage of the other entry daemons is not known here. */
    val unknownUsage: UnknownUsage get() = counts.value.unknown

    /** How much later than on idle event loops the other daemons' usage becomes known here. */
    val reportLag: Duration get() = roundTrips.value(hops = if (selection.isMesh) 1 else RELAYED_HOPS)

    /** Entry daemons that callers should use; [isSelfServing] tells whether this daemon itself may be used. */
    fun advertised(isSelfServing: Boolean): List<Member> {
        val told = if (isRelay()) null else advertisedDaemons.received()
        if (told != null) {
            val members = told.mapNotNull { if (it == self.shortId) self else peers.byShortId[it]?.member }
            return members.filter { it.name != self.name || isSelfServing }
        }
        val serving = peers.servingEntries() + listOfNotNull(self.takeIf { isSelfServing })
        val named = if (selection.isMesh) serving else advertisedDaemons.select(serving)
        return named.withoutOverloaded { member ->
            if (member.name == self.name) pressure() > 0 else peers.byName[member.name]?.isOverloaded == true
        }
    }

    /** Adds to [heartbeat] what the exchange itself tells [receiver]. */
    fun addressed(heartbeat: Heartbeat, receiver: Peer): Heartbeat = when {
        !isRelay() -> heartbeat.copy(relay = relay?.name, pressure = pressure(), relayChanges = relayChanges)
        roleOf(receiver) == PeerRole.LEAF -> heartbeat.copy(
            pressure = pressure(),
            relay = self.name,
            daemons = counts.value.daemons,
            silent = counts.value.silent,
            unknownMillis = counts.value.unknown.pending.inWholeMilliseconds,
            lostMillis = counts.value.unknown.lost.inWholeMilliseconds,
            advertised = if (advertisedDaemons.takeDue(receiver.member.name)) {
                advertised(isSelfServing = heartbeat.isReady && !heartbeat.isLeaving).map { it.shortId }
            } else {
                emptyList()
            },
        )
        else -> {
            val (ready, unready) = leaves.partition { it.isServing }
            heartbeat.copy(
                pressure = pressure(),
                relayChanges = relayChanges,
                overloaded = leaves.filter { it.isOverloaded }.map { it.member.shortId },
                relay = self.name,
                ready = ready.map { it.member.shortId },
                unready = unready.map { it.member.shortId },
                relays = (heardRelays.map { it.member } - selection.defaultRelays.toSet()).map { it.shortId },
            )
        }
    }

    /** Suspects the relay in use when it has not replied for some time to what this daemon sends. */
    private fun suspectSilentRelay() {
        val next = relay
        val now = clock.now()
        if (next?.name != used?.name) {
            used = next
            usedSince = now
        }
        val peer = next?.let { peers.byName[it.name] } ?: return
        val answeredAt = maxOf(peer.echoedSentAt ?: -Duration.INFINITE, usedSince)
        if (now - answeredAt > RELAY_TIMEOUT) selection.suspect(next.name)
    }

    private companion object {
        /** Heartbeats that usage passes from a daemon over its relay and another one to the receiver. */
        const val RELAYED_HOPS = 3

        /** More than four periods of heartbeats. */
        val RELAY_TIMEOUT = 900.milliseconds

        /**
         * Age at which the relay's reports no longer tell the others' usage; more than a period of heartbeats. All
         * daemons behind a relay are without reports at once, so it is shorter than for a single daemon.
         */
        val REPORT_LIFETIME = 300.milliseconds

        /** Time for which a relay that is not a default one gets heartbeats after it was last heard. */
        val RELAY_MEMORY = 2.seconds
    }
}
