package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.limit.UnknownUsage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Registered daemons other than this one, with their liveness as seen from heartbeats. */
class PeerTable(
    private val self: Member,
    private val clock: MonotonicClock,
) {
    private val startedAt = clock.now()
    private val peers = HashMap<String, Peer>()
    private var lost = Duration.ZERO

    /** Whether the registrations were read. */
    var isLoaded = false
        private set
    private var historyDaemons: List<Peer> = emptyList()

    /** The registered daemons except this one by [Member.shortId]. */
    var byShortId: Map<Int, Peer> = emptyMap()
        private set

    /** All registered daemons except this one, by name. */
    val byName: Map<String, Peer> get() = peers

    /** All registered daemons except this one. */
    val all: Collection<Peer> get() = peers.values

    /** Replaces the registrations; the state of a peer is kept as long as its incarnation is the same. */
    fun replaceMembers(members: Collection<Member>) {
        val others = members.filter { it.name != self.name }.associateBy { it.name }
        peers.keys.retainAll(others.keys)
        others.values.forEach { member ->
            val known = peers[member.name]
            if (known == null || known.member.incarnation != member.incarnation) {
                peers[member.name] = Peer(member, clock.now(), known?.knownUntil ?: startedAt, isStartSeen = isLoaded)
            } else {
                known.member = member
            }
        }
        isLoaded = true
        byShortId = peers.values.associateBy { it.member.shortId }
        historyDaemons = peers.values.filter { !it.member.isEntry }
    }

    /**
     * Applies [heartbeat] and returns its sender; null when the sender is not registered under this incarnation or a
     * later heartbeat has been applied.
     */
    fun applyHeartbeat(heartbeat: Heartbeat): Peer? {
        val peer = peers[heartbeat.from]?.takeIf { it.member.incarnation == heartbeat.incarnation } ?: return null
        val unknownBefore = if (peer.heartbeat == null) clock.now() - peer.knownUntil else Duration.ZERO
        val isApplied = peer.applyHeartbeat(heartbeat, clock.now(), receiver = self.incarnation)
        if (isApplied && peer.member.isEntry) lost += unknownBefore
        return peer.takeIf { isApplied }
    }

    /** Whether a sign of life of [peer] arrived recently, from itself or through a relay. */
    fun isAlive(peer: Peer): Boolean = clock.now() - peer.lastAliveAt < ALIVE_TIMEOUT

    /** Whether a heartbeat of [peer] itself arrived recently. */
    fun isHeard(peer: Peer): Boolean = clock.now() - peer.lastHeartbeatAt < ALIVE_TIMEOUT

    /** Entry daemons that callers may be sent to: alive, ready and not stopping. */
    fun servingEntries(): List<Member> {
        val now = clock.now()
        return peers.values
            .filter { it.member.isEntry && now - it.lastAliveAt < ALIVE_TIMEOUT && it.isServing }
            .map { it.member }
    }

    /** Number of entry daemons that may be admitting calls, this one included. */
    fun entryCount(): Int = peers.values.count { it.member.isEntry && mayAdmitCalls(it) } + 1

    /** Number of entry daemons that may be admitting calls without their rate limit usage being known here. */
    fun unresponsiveEntryCount(): Int = silentEntries.size

    private val silentEntries: List<Peer>
        get() {
            val since = clock.now() - USAGE_UNKNOWN_AFTER
            return peers.values.filter { it.member.isEntry && mayAdmitCalls(it) && it.lastAliveAt < since }
        }

    /**
     * Time for which the usage of the other entry daemons is not known here: since the latest sign of life of silent
     * ones. Lost is the time before the first heartbeat of a process.
     */
    val unknownUsage: UnknownUsage
        get() {
            val now = clock.now()
            val pending = silentEntries.fold(Duration.ZERO) { sum, peer -> sum + (now - peer.knownUntil) }
            return UnknownUsage(pending, lost)
        }

    /** [shortest] to twice as long in a large fleet, where many daemons would read each change at once; else zero. */
    fun batchTime(shortest: Duration): Duration =
        if (peers.size < RelaySelection.MAX_MESH_SIZE) Duration.ZERO else shortest * (1 + Random.nextDouble())

    /** Registered history daemons; another list whenever the registrations change. */
    fun historyDaemons(): List<Peer> = historyDaemons

    /** Daemons that have sent no heartbeat for so long that their registrations can be removed. */
    val expired: List<Member>
        get() = peers.values.filter { clock.now() - it.lastSeenAt > EXPIRED_AFTER }.map { it.member }

    /**
     * Whether [peer] may be admitting calls, heard or not. A daemon that sends no heartbeats is assumed to have lost
     * contact with the store as well, and without that contact it stops admitting calls with a key.
     */
    fun mayAdmitCalls(peer: Peer): Boolean = clock.now() - peer.lastSeenAt < ADMISSION_TIMEOUT

    private companion object {
        /** More than four heartbeat periods of 200 ms, so single lost datagrams do not matter. */
        val ALIVE_TIMEOUT = 900.milliseconds

        /** Two heartbeats are missing, so the daemon's rate limit usage is no longer known. */
        val USAGE_UNKNOWN_AFTER = 450.milliseconds

        /** Longer than a daemon without contact with the store admits calls with a key. */
        val ADMISSION_TIMEOUT = 12.seconds

        /** Longer than any expected loss of connection; a daemon that comes back later registers again. */
        val EXPIRED_AFTER = 60.seconds
    }
}
