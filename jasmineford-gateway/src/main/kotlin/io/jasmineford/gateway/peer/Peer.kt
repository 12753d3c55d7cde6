package io.jasmineford.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Confirmation, carried by a peer's heartbeat, that the store held [configVersion] at [confirmedAt]. */
data class PeerStoreContact(
    val confirmedAt: Duration,
    val configVersion: Long,
)

/** State of another daemon as known from its registration and its heartbeats. */
class Peer(
    /** Registration of the peer. */
    var member: Member,
    /** Time at which the registration of this incarnation was first seen. */
    val firstSeenAt: Duration,
    /** Time up to which the usage of the peer's former process is known here. */
    private val formerKnownUntil: Duration = firstSeenAt,
    /** Whether the peer's process has registered since this daemon read the registrations first. */
    val isStartSeen: Boolean = true,
) {
    /** The latest heartbeat of the registered incarnation. */
    var heartbeat: Heartbeat? = null
        private set

    /** Time of the latest heartbeat. */
    var lastHeartbeatAt: Duration = -Duration.INFINITE
        private set

    /** Highest sequence number received from the peer; -1 before the first heartbeat for this process. */
    var highestReceived = -1L
        private set
    private var highestForFormer = -1L
    private val sentAt = LinkedHashMap<Long, Duration>()
    private var nextSequence = 0L

    /** Time at which a relay last reported that it hears this peer. */
    var relayedAt: Duration = -Duration.INFINITE
        private set

    /** Whether the latest report of a relay says that callers may use this peer. */
    var isRelayedReady = false
        private set
    private var isRelayedOverloaded = false

    /** Time of the latest direct or relayed sign of life; -[Duration.INFINITE] when there is none. */
    val lastAliveAt: Duration get() = maxOf(lastHeartbeatAt, relayedAt)

    /** Time of the latest sign of life, or of the registration when there is none since. */
    val lastSeenAt: Duration get() = maxOf(lastAliveAt, firstSeenAt)

    /** Time up to which the usage of the peer is known here. */
    val knownUntil: Duration get() = maxOf(lastAliveAt, formerKnownUntil)

    /** Whether callers may use this peer, by the later one of its heartbeat and a relay's report. */
    val isServing: Boolean
        get() = if (relayedAt > lastHeartbeatAt) {
            isRelayedReady
        } else {
            heartbeat?.isReady == true && heartbeat?.isLeaving == false
        }

    /** Whether the peer sheds calls, by the later one of its heartbeat and a relay's report. */
    val isOverloaded: Boolean
        get() = if (relayedAt > lastHeartbeatAt) isRelayedOverloaded else (heartbeat?.pressure ?: 0.0) > 0

    /** Whether the peer may have applied what it was told of endpoints: only then has it read their registrations. */
    val mayKnowRates: Boolean get() = heartbeat?.let { it.isReady && it.echo >= 0 } ?: false

    /** Time at which the message was sent that the latest heartbeat echoes; null when it echoes none. */
    val echoedSentAt: Duration? get() = heartbeat?.let { sentAt[it.echo] }

    /** Records the report of a relay that it hears this peer. */
    fun markRelayed(now: Duration, isReady: Boolean, isOverloaded: Boolean = false) {
        isRelayedOverloaded = isOverloaded
        relayedAt = now
        isRelayedReady = isReady
    }

    /**
     * Applies a heartbeat that arrived at [now] at the incarnation [receiver] of this daemon; returns false when it is
     * a duplicate or arrived out of order.
     */
    fun applyHeartbeat(next: Heartbeat, now: Duration, receiver: Long): Boolean {
        val isForFormer = next.to >= 0 && next.to != receiver
        return if (isForFormer) applyForFormer(next, now) else applyForThis(next, now)
    }

    private fun applyForThis(next: Heartbeat, now: Duration): Boolean {
        val isNewer = next.sequence > highestReceived
        if (isNewer) {
            highestReceived = next.sequence
            apply(next, now)
        }
        return isNewer
    }

    /**
     * Applies a heartbeat for the former process of this daemon: the peer lives, but has not read this daemon's new
     * registration. Its sequence numbers and its echo refer to the former process, and it is ignored once the peer has
     * sent heartbeats to this one.
     */
    private fun applyForFormer(next: Heartbeat, now: Duration): Boolean {
        val isNewer = highestReceived < 0 && next.sequence > highestForFormer
        if (isNewer) {
            highestForFormer = next.sequence
            apply(next.copy(echo = -1), now)
        }
        return isNewer
    }

    private fun apply(next: Heartbeat, now: Duration) {
        lastHeartbeatAt = now
        heartbeat = next
    }

    /** [heartbeat] as sent to the peer at [now]. */
    fun addressed(heartbeat: Heartbeat, now: Duration): Heartbeat =
        heartbeat.copy(sequence = nextSequence(now), echo = highestReceived, to = member.incarnation)

    /** Allocates the sequence number of a message that is sent to the peer at [now]. */
    fun nextSequence(now: Duration): Long {
        val sequence = nextSequence++
        sentAt[sequence] = now
        while (sentAt.size > MAX_SEND_TIMES) sentAt.remove(sentAt.keys.first())
        return sequence
    }

    /**
     * Store contact confirmed by the latest heartbeat; null when it confirms none.
     *
     * The heartbeat was sent after the message that it echoes, so the contact is at least as recent as the send time of
     * that message minus the reported age. Only this daemon's clock is used.
     */
    fun storeContact(): PeerStoreContact? {
        val last = heartbeat
        val echoed = echoedSentAt
        return if (last == null || echoed == null || last.contactAgeMillis < 0) {
            null
        } else {
            PeerStoreContact(echoed - last.contactAgeMillis.milliseconds, last.configVersion)
        }
    }

    private companion object {
        /** Number of recent sends whose times are kept to match echoes. */
        const val MAX_SEND_TIMES = 64
    }
}
