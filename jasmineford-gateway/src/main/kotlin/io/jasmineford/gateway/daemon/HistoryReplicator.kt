package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.HistoryStatus

/**
 * Copies the entries of other history daemons to this daemon's disk.
 *
 * @param name name of this daemon.
 * @param connect makes a connection to a source.
 */
internal class HistoryReplicator(
    private val name: String,
    private val history: HistoryReplica,
    private val connect: (Member) -> HistoryConnection,
) {
    /** Position that a source returned; it is valid for the process at the other end of its connection only. */
    private class Position(val next: Int, val connectionNumber: Int)

    private val connections = HashMap<String, HistoryConnection>()
    private val positions = HashMap<String, Position>()
    private val running = HashSet<String>()
    private val completed = HashMap<String, HistoryStatus>()

    /** Daemons whose entries have been copied completely under the group in force, with their statuses then. */
    val sources: Map<String, HistoryStatus> get() = completed

    /** Requires new complete copies under a new epoch; entries that are on disk already are not copied again. */
    fun restart() = completed.clear()

    /** Starts to copy the entries of [peer] for [group] unless a copy from it is running. */
    fun copyFrom(peer: Peer, group: HistoryGroup) {
        if (running.add(peer.member.name)) copyNext(peer, group)
    }

    private fun copyNext(peer: Peer, group: HistoryGroup) {
        val source = peer.member.name
        val connection = connectionTo(peer)
        // The process that answers over a new connection may have started since, and its registration not be known yet.
        val known = positions[source]?.takeIf { it.connectionNumber == connection.openNumber }
        val request = HistoryRequest.Copy(known?.next ?: 0, name)
        connection.send(group.stampFor(source), request, HistoryQuorum.REPLY_TIMEOUT) { reply ->
            if (reply is HistoryReply.Copied) {
                val position = Position(reply.next, connection.openNumber ?: NO_CONNECTION)
                history.write(reply.entries) { isSynced ->
                    if (isSynced) copied(peer, reply, position, group) else running.remove(source)
                }
            } else {
                running.remove(source)
            }
        }
    }

    private fun copied(peer: Peer, reply: HistoryReply.Copied, position: Position, group: HistoryGroup) {
        positions[peer.member.name] = position
        if (reply.isEnd) ended(peer, reply.status, group) else copyNext(peer, group)
    }

    private fun ended(peer: Peer, status: HistoryStatus?, group: HistoryGroup) {
        running.remove(peer.member.name)
        // From now on the source refuses requests of an older epoch, so no entry can follow the end.
        if (group.epoch == history.status.epoch) completed[peer.member.name] = status ?: statusToldBy(peer, group)
    }

    /** Status of a daemon of a release whose replies contain none. */
    private fun statusToldBy(peer: Peer, group: HistoryGroup) =
        HistoryStatus(group.epoch, isComplete = peer.heartbeat?.isReady == true)

    private fun connectionTo(peer: Peer): HistoryConnection {
        val key = "${peer.member.name}/${peer.member.incarnation}"
        return connections.getOrPut(key) {
            // Positions are valid only for the incarnation of the source that returned them.
            positions.remove(peer.member.name)
            connect(peer.member)
        }
    }

    private companion object {
        /** Number that no open connection has. */
        const val NO_CONNECTION = -1
    }
}
