package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.HistoryStatus

/** Copies the entries of other history daemons to this daemon's disk. */
internal class HistoryReplicator(
    private val node: NodeRuntime,
    private val history: HistoryReplica,
) {
    private val connections = HashMap<String, HistoryConnection>()
    private val positions = HashMap<String, Int>()
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
        val name = peer.member.name
        val connection = connectionTo(peer)
        val request = HistoryRequest.Copy(positions[name] ?: 0, node.settings.name)
        connection.send(group.stampFor(name), request, HistoryQuorum.REPLY_TIMEOUT) { reply ->
            if (reply is HistoryReply.Copied) {
                history.write(reply.entries) { isSynced ->
                    if (isSynced) copied(peer, reply, group) else running.remove(name)
                }
            } else {
                running.remove(name)
            }
        }
    }

    private fun copied(peer: Peer, reply: HistoryReply.Copied, group: HistoryGroup) {
        positions[peer.member.name] = reply.next
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
            HistoryConnection(node.group, peer.member, node.clock, node.log)
        }
    }
}
