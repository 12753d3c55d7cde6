package io.jasmineford.gateway.daemon

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

/**
 * Registers this daemon in the platform's store, mirrors the registrations of the others and exchanges heartbeats with
 * them.
 *
 * @param stateOf this daemon's state for a heartbeat; sequence and echo are filled in here.
 * @param onHeartbeat called with the sender of each heartbeat that was applied.
 */
class Membership(
    private val node: NodeRuntime,
    private val stateOf: () -> Heartbeat,
    private val onHeartbeat: (Peer) -> Unit,
) {
    /** The stored group of history daemons. */
    val storedGroup = StoredHistoryGroup(node)
    private var isRegistered = false
    private var isDeregistered = false

    /** Registrations and liveness of the other daemons. */
    val peers = PeerTable(node.self, node.clock)
    private val socket = HeartbeatSocket(node.group, node.settings.peerAddress, node.log, ::receive)
    private val format = Json { ignoreUnknownKeys = true }

    private val mirror = ObjectMirror(
        kind = ObjectKind.MEMBER,
        context = node.mirrorContext,
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

    /** Sends a heartbeat to every peer at once. */
    fun sendHeartbeats() {
        val state = stateOf()
        peers.all.forEach { peer ->
            val isEntryTraffic = peer.member.isEntry
            val content = if (isEntryTraffic) state else state.withoutLoad()
            val next = content.copy(sequence = peer.nextSequence(node.clock.now()), echo = peer.highestReceived)
            socket.send(peer.member, next)
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

    /** Removes the registrations of daemons that sent no heartbeat for long, except for voters of the history group. */
    fun removeExpired() {
        val voters = storedGroup.group?.voters.orEmpty()
        peers.expired().filter { it.name !in voters }.forEach(::remove)
    }

    private fun receive(heartbeat: Heartbeat) {
        peers.applyHeartbeat(heartbeat)?.let(onHeartbeat)
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
        val members = objects.filter { it.name != StoredHistoryGroup.NAME }.mapNotNull(::decode)
        objects.firstOrNull { it.name == StoredHistoryGroup.NAME }?.let(storedGroup::apply)
        peers.replaceMembers(members)
        if (isRegistered && !isDeregistered && members.none { it.name == node.self.name }) {
            node.log.event("registration-removed", "member" to node.self.name)
            isRegistered = false
            register()
        }
        sendHeartbeats()
    }

    private fun decode(stored: StoredObject): Member? = try {
        stored.spec?.let { format.decodeFromJsonElement(Member.serializer(), it) }
    } catch (e: SerializationException) {
        node.log.event("member-unreadable", "object" to stored.name, "reason" to e.message)
        null
    }

    companion object {
        /** Shorter than the store keeps its change history; a longer watch would end with an error. */
        val WATCH_WAIT = 15.seconds

        /** Period of heartbeats, and so the age of this daemon's load and usage at its peers. */
        private val HEARTBEAT_PERIOD = 200.milliseconds

        private val REGISTRATION_RETRY = 500.milliseconds
    }
}
