package io.jasmineford.gateway.peer

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Confirmation, carried by a peer's heartbeat, that the store held [configVersion] at [provenAt]. */
data class PeerContact(
    val provenAt: Duration,
    val configVersion: Long,
)

/** State of another daemon as known from its registration and its heartbeats. */
class Peer(
    /** Registration of the peer. */
    var member: Member,
    /** Time at which the registration of this incarnation was first seen. */
    val firstSeenAt: Duration,
) {
    /** The latest heartbeat of the registered incarnation. */
    var heartbeat: Heartbeat? = null
        private set

    /** Time of the latest heartbeat. */
    var heardAt: Duration = -Duration.INFINITE
        private set

    /** Highest sequence number received from the peer; -1 before the first heartbeat. */
    var received = -1L
        private set
    private val sentAt = LinkedHashMap<Long, Duration>()
    private var nextSequence = 0L

    /** Time of the latest heartbeat, or of the registration when none has arrived since. */
    val lastSignAt: Duration get() = maxOf(heardAt, firstSeenAt)

    /** Applies a heartbeat that arrived at [now]; returns false when it is a duplicate or arrived out of order. */
    fun hear(next: Heartbeat, now: Duration): Boolean {
        val isNewer = next.sequence > received
        if (isNewer) {
            received = next.sequence
            heardAt = now
            heartbeat = next
        }
        return isNewer
    }

    /** Allocates the sequence number of a message that is sent to the peer at [now]. */
    fun nextSequence(now: Duration): Long {
        val sequence = nextSequence++
        sentAt[sequence] = now
        while (sentAt.size > SENT_KEPT) sentAt.remove(sentAt.keys.first())
        return sequence
    }

    /**
     * Store contact confirmed by the latest heartbeat; null when it confirms none.
     *
     * The heartbeat was sent after the message that it echoes, so the contact is at least as recent as the send time of
     * that message minus the reported age. Only this daemon's clock is used.
     */
    fun contact(): PeerContact? {
        val last = heartbeat
        val answered = last?.let { sentAt[it.echo] }
        return if (last == null || answered == null || last.contactAgeMillis < 0) {
            null
        } else {
            PeerContact(answered - last.contactAgeMillis.milliseconds, last.configVersion)
        }
    }

    private companion object {
        /** Number of recent sends whose times are kept to match echoes. */
        const val SENT_KEPT = 64
    }
}
