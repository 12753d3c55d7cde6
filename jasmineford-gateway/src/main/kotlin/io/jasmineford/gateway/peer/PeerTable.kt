package io.jasmineford.gateway.peer

import io.jasmineford.core.time.MonotonicClock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Registered daemons other than this one, with their liveness as seen from heartbeats. */
class PeerTable(
    private val self: Member,
    private val clock: MonotonicClock,
) {
    private val peers = HashMap<String, Peer>()

    /** All registered daemons except this one. */
    val all: Collection<Peer> get() = peers.values

    /** Replaces the registrations; the state of a peer is kept as long as its incarnation is the same. */
    fun replaceMembers(members: Collection<Member>) {
        val others = members.filter { it.name != self.name }.associateBy { it.name }
        peers.keys.retainAll(others.keys)
        others.values.forEach { member ->
            val known = peers[member.name]
            if (known == null || known.member.incarnation != member.incarnation) {
                peers[member.name] = Peer(member, clock.now())
            } else {
                known.member = member
            }
        }
    }

    /**
     * Applies [heartbeat] and returns its sender; null when the sender is not registered under this incarnation or a
     * later heartbeat has been applied.
     */
    fun hear(heartbeat: Heartbeat): Peer? = peers[heartbeat.from]
        ?.takeIf { it.member.incarnation == heartbeat.incarnation && it.hear(heartbeat, clock.now()) }

    /** Whether a heartbeat of [peer] arrived recently. */
    fun isHeard(peer: Peer): Boolean = clock.now() - peer.heardAt < SILENT_AFTER

    /** Entry daemons that callers may be sent to: alive, ready and not stopping. */
    fun servingEntries(): List<Member> = peers.values
        .filter { it.member.isEntry && isHeard(it) }
        .filter { it.heartbeat?.isReady == true && it.heartbeat?.isLeaving == false }
        .map { it.member }

    /** Number of entry daemons that may be admitting calls, this one included. */
    fun entryCount(): Int = peers.values.count { it.member.isEntry && isCounted(it) } + 1

    /** Number of entry daemons that may be admitting calls without their use of allotments being known here. */
    fun silentEntryCount(): Int = peers.values.count {
        it.member.isEntry && isCounted(it) && clock.now() - it.heardAt > UNCERTAIN_AFTER
    }

    /** Registered history daemons. */
    fun histories(): List<Peer> = peers.values.filter { !it.member.isEntry }

    /** Daemons that have sent no heartbeat for so long that their registrations can be removed. */
    fun gone(): List<Member> = peers.values.filter { clock.now() - it.lastSignAt > GONE_AFTER }.map { it.member }

    /**
     * A daemon that sends no heartbeats is assumed to have lost contact with the store as well, and without that
     * contact it stops admitting calls with a key.
     */
    private fun isCounted(peer: Peer): Boolean = clock.now() - peer.lastSignAt < FORGOTTEN_AFTER

    private companion object {
        /** More than four heartbeat periods of 200 ms, so single lost datagrams do not matter. */
        val SILENT_AFTER = 900.milliseconds

        /** Two heartbeats are missing, so the daemon's use of allotments is no longer known. */
        val UNCERTAIN_AFTER = 450.milliseconds

        /** Longer than a daemon without contact with the store admits calls with a key. */
        val FORGOTTEN_AFTER = 12.seconds

        /** Longer than any expected loss of connection; a daemon that comes back later registers again. */
        val GONE_AFTER = 60.seconds
    }
}
