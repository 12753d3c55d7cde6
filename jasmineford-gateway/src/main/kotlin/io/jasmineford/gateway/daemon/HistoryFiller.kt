package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryReply
import io.jasmineford.gateway.turn.HistoryRequest

/** Copies the entries of other history daemons to this one. */
internal class HistoryFiller(
    private val node: NodeRuntime,
    private val history: HistoryReplica,
) {
    private val connections = HashMap<String, HistoryConnection>()
    private val positions = HashMap<String, Int>()
    private val running = HashSet<String>()
    private val finished = HashSet<String>()

    /** Names of the daemons whose entries were copied to the end under the present epoch. */
    val copied: Set<String> get() = finished

    /** Starts over under another epoch; what is on disk is not copied again. */
    fun startOver() = finished.clear()

    /** Copies what [peer] has, unless that is under way. */
    fun copy(peer: Peer) {
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
                    // Requests of an older epoch are refused there from now on, so nothing is missed after the end.
                    if (reply.isEnd && epoch == history.status.epoch) finished.add(name)
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
            // Positions count from the start of the process that gave them.
            positions.remove(peer.member.name)
            HistoryConnection(node.group, peer.member, node.clock, node.log)
        }
    }
}
