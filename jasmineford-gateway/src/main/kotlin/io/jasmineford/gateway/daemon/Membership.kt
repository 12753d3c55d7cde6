package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.HeartbeatSocket
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerTable
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectMirror
import io.jasmineford.gateway.store.StoreReply
import io.jasmineford.gateway.store.StoredObject
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val format = Json { ignoreUnknownKeys = true }

private fun decode(stored: StoredObject, log: EventLog): Member? = try {
    stored.spec?.let { format.decodeFromJsonElement(Member.serializer(), it) }
} catch (e: SerializationException) {
    log.event("member-unreadable", "object" to stored.name, "reason" to e.message)
    null
}

/**
 * What a daemon tells to whom in heartbeats.
 *
 * @property targets peers to which a heartbeat is due.
 * @property content this daemon's state for a peer; sequence, echo and address are filled in by [Membership].
 * @property onHeartbeat called with the sender of each heartbeat that was applied.
 * @property onMembers called when the registrations of the other daemons have changed.
 */
class HeartbeatPolicy(
    val targets: () -> List<Peer>,
    val content: (Peer) -> Heartbeat,
    val onHeartbeat: (Peer) -> Unit = {},
    val onMembers: () -> Unit = {},
)

/**
 * Registers this daemon in the platform's store, mirrors the registrations of the others and exchanges heartbeats with
 * those that its [policy] names.
 */
class Membership(
    private val node: NodeRuntime,
    private val policy: HeartbeatPolicy,
) {
    /** The stored group of history daemons. */
    val storedGroup = StoredHistoryGroup(node)
    private var isRegistered = false
    private var isDeregistered = false

    /** Registrations and liveness of the other daemons. */
    val peers = PeerTable(node.self, node.clock)
    private val socket = HeartbeatSocket(node.group, node.settings.peerAddress, node.log, ::receive)

    private val mirror = ObjectMirror(
        kind = ObjectKind.MEMBER,
        context = node.mirrorContext.copy(watchPause = { peers.batchTime(REGISTRATION_BATCH_TIME) }),
        watchWait = WATCH_WAIT,
    ) { apply(it) }

    /** Opens the socket for heartbeats. */
    fun open() = socket.open()

    /** Registers this daemon and starts the periodic heartbeats. */
    fun start() {
        register()
        mirror.start()
        node.every(HEARTBEAT_PERIOD, ::sendHeartbeats)
    }

    /** Sends a heartbeat to every peer to which one is due. */
    fun sendHeartbeats() = policy.targets().forEach(::sendHeartbeat)

    /** Sends a heartbeat to [peer]. */
    fun sendHeartbeat(peer: Peer) {
        policy.content(peer).parts().forEach { part ->
            socket.send(peer.member, peer.addressed(part, node.clock.now()))
        }
    }

    /** Removes the registration of [member]. */
    fun remove(member: Member) = node.store.delete(ObjectKind.MEMBER, member.name) {
        node.log.event("member-removed", "member" to member.name, "reply" to it)
    }

    /** Removes the registration of this daemon and does not renew it. */
    fun deregister() {
        isDeregistered = true
        remove(node.self)
    }

    /**
     * Removes the registrations of daemons of this daemon's role that gave no sign of life for long, except for voters
     * of the history group.
     */
    fun removeExpired() {
        val voters = storedGroup.group?.voters.orEmpty()
        peers.expired.filter { it.isEntry == node.self.isEntry && it.name !in voters }.forEach(::remove)
    }

    private fun receive(heartbeat: Heartbeat) {
        peers.applyHeartbeat(heartbeat)?.let(policy.onHeartbeat)
    }

    private fun register() {
        val spec: JsonElement = format.encodeToJsonElement(Member.serializer(), node.self)
        node.store.put(ObjectKind.MEMBER, node.self.name, spec) { reply ->
            if (reply is StoreReply.Success) {
                isRegistered = true
                node.log.event("registered", "member" to node.self.name, "incarnation" to node.incarnation)
            } else {
                node.log.event("registration-failed", "reply" to reply)
                node.scheduler.after(REGISTRATION_RETRY, ::register)
            }
        }
    }

    private fun apply(objects: Collection<StoredObject>) {
        val members = objects.filter { it.name != StoredHistoryGroup.NAME }.mapNotNull { decode(it, node.log) }
        objects.firstOrNull { it.name == StoredHistoryGroup.NAME }?.let(storedGroup::apply)
        peers.replaceMembers(members)
        if (isRegistered && !isDeregistered && members.none { it.name == node.self.name }) {
            node.log.event("registration-removed", "member" to node.self.name)
            isRegistered = false
            register()
        }
        policy.onMembers()
    }

    companion object {
        /** Shorter than the store keeps its change history; a longer watch would end with an error. */
        val WATCH_WAIT = 15.seconds

        /** Period of heartbeats, and so the age of this daemon's load and usage at its peers. */
        private val HEARTBEAT_PERIOD = 200.milliseconds

        private val REGISTRATION_RETRY = 500.milliseconds

        /**
         * Shortest time between a change of the registrations and the next watch. The changes of many daemons that
         * start together are then read by few calls.
         */
        private val REGISTRATION_BATCH_TIME = 500.milliseconds
    }
}
