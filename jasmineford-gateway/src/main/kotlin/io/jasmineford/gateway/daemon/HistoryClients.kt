package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryQuorum

/**
 * Connections of an entry daemon to the history daemons. Live ones come first, and among those the ones of its zone.
 */
internal class HistoryClients(
    private val node: NodeRuntime,
    private val membership: () -> Membership,
) {
    private val connections = HashMap<Member, HistoryConnection>()

    /** Reads and writes at majorities of the group. */
    val quorum = HistoryQuorum(
        view = ::view,
        channel = { member, epoch, request, onReply ->
            connectionTo(member).send(epoch, request, HistoryQuorum.REPLY_TIMEOUT, onReply)
        },
        wallMillis = node.wallMillis,
    )

    private fun view(): GroupView? {
        val group = membership().storedGroup.group ?: return null
        val peers = membership().peers
        val members = peers.historyDaemons()
            .filter { it.member.name in group.voters }
            .sortedWith(compareBy({ !peers.isAlive(it) }, { it.member.zone != node.settings.zone }, { it.member.name }))
        val unresponsive = members.filter { !peers.isAlive(it) }.map { it.member.name }.toSet()
        return GroupView(group.epoch, group.majority, members.map { it.member }, unresponsive)
    }

    private fun connectionTo(member: Member): HistoryConnection {
        val registered = membership().peers.historyDaemons().map { it.member }.toSet()
        val unregistered = connections.keys.filter { it !in registered }
        unregistered.forEach { connections.remove(it)?.close() }
        return connections.getOrPut(member) { HistoryConnection(node.group, member, node.clock, node.log) }
    }
}
