package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest

/** Copies the entries of other history daemons to this daemon's disk. */
internal class HistoryReplicator(
    private val node: NodeRuntime,
    private val history: HistoryReplica,
) {
    private val connections = HashMap<String, HistoryConnection>()
    private val positions = HashMap<String, Int>()
    private val running = HashSet<String>()
    private val completed = HashSet<String>()

    /** Names of the daemons whose entries have been copied completely under the current epoch of the group. */
    val completedSources: Set<String> get() = completed

    /** Requires new complete copies under a new epoch; entries that are on disk already are not copied again. */
    fun restart() = completed.clear()

    /** Starts to copy the entries of [peer] unless a copy from it is running. */
    fun copyFrom(peer: Peer) {
        if (running.add(peer.member.name)) copyNext(peer)
    }

    private fun copyNext(peer: Peer) {
        val name = peer.member.name
        val connection = connectionTo(peer)
        val request = HistoryRequest.Copy(positions[name] ?: 0, node.settings.name)
        val epoch = history.status.epoch
        connection.send(epoch, request, HistoryQuorum.REPLY_TIMEOUT) { reply ->
            if (reply is HistoryReply.Copied) {
                history.storeCopied(reply.entries) {
                    positions[name] = reply.next
                    // From now on the source refuses requests of an older epoch, so no entry can follow the end.
                    if (reply.isEnd && epoch == history.status.epoch) completed.add(name)
                    if (reply.isEnd) running.remove(name) else copyNext(peer)
                }
            } else {
                running.remove(name)
            }
        }
    }

    private fun connectionTo(peer: Peer): HistoryConnection {
        val key = "${peer.member.name}/${peer.member.incarnation}"
        return connections.getOrPut(key) {
            // Positions are valid only for the incarnation of the source that returned them.
            positions.remove(peer.member.name)
            HistoryConnection(node.group, peer.member, node.clock, node.log)
        }
    }
}
