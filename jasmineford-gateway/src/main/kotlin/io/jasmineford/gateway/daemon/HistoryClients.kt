package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryQuorum

/**
 * Connections of an entry daemon to the history daemons. Those that reply come first, and among them the ones of its
 * zone.
 */
internal class HistoryClients(
    private val node: NodeRuntime,
    private val membership: () -> Membership,
) {
    private val connections = HashMap<Member, HistoryConnection>()

    /** Reads and writes at majorities of the group. */
    val quorum = HistoryQuorum(
        view = ::view,
        channel = { member, stamp, request, onReply ->
            connectionTo(member).send(stamp, request, HistoryQuorum.REPLY_TIMEOUT, onReply)
        },
        wallMillis = node.wallMillis,
    )

    private fun view(): GroupView? {
        val group = membership().storedGroup.group ?: return null
        val members = membership().peers.historyDaemons().filter { it.member.name in group.voters }.map { it.member }
        val unresponsive = members.filter { connections[it]?.isResponsive == false }.map { it.name }.toSet()
        val nearest = compareBy<Member>({ it.name in unresponsive }, { it.zone != node.settings.zone }, { it.name })
        return GroupView(group.epoch, group.majority, members.sortedWith(nearest), unresponsive, group.joinedAt)
    }

    private fun connectionTo(member: Member): HistoryConnection {
        val registered = membership().peers.historyDaemons().map { it.member }.toSet()
        val unregistered = connections.keys.filter { it !in registered }
        unregistered.forEach { connections.remove(it)?.close() }
        return connections.getOrPut(member) { HistoryConnection(node.group, member, node.clock, node.log) }
    }
}
