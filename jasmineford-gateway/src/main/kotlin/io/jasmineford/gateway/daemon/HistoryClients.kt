package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.turn.GroupView
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryGroup
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
    private var registered: List<Peer> = emptyList()
    private var lastView: ViewOf? = null

    /** Reads and writes at majorities of the group. */
    val quorum = HistoryQuorum(
        view = ::view,
        channel = { member, stamp, request, onReply ->
            connectionTo(member).send(stamp, request, HistoryQuorum.REPLY_TIMEOUT, onReply)
        },
        wallMillis = node.wallMillis,
    )

    /** Bytes of requests that history daemons have not read. */
    val unreadBytes: Long get() = connections.values.sumOf { it.unreadBytes }

    private fun view(): GroupView? {
        val group = membership().storedGroup.group ?: return null
        val peers = membership().peers.historyDaemons()
        val last = lastView?.takeIf { it.isOf(group, peers) } ?: viewOf(group, peers).also { lastView = it }
        return last.view
    }

    private fun viewOf(group: HistoryGroup, peers: List<Peer>): ViewOf {
        val members = peers.filter { it.member.name in group.voters }.map { it.member }
        val unresponsive = members.filterNot(::isResponsive).map { it.name }.toSet()
        val nearest = compareBy<Member>({ it.name in unresponsive }, { it.zone != node.settings.zone }, { it.name })
        val sorted = members.sortedWith(nearest)
        return ViewOf(group, peers, GroupView(group.epoch, group.majority, sorted, unresponsive, group.joinedAt))
    }

    private fun isResponsive(member: Member) = connections[member]?.isResponsive != false

    /** The [view] of a group among the registered daemons; each request needs one, and it rarely changes. */
    private inner class ViewOf(private val group: HistoryGroup, private val peers: List<Peer>, val view: GroupView) {
        /** Whether the view is still that of [group] among [registered], with the same ones unresponsive. */
        fun isOf(group: HistoryGroup, registered: List<Peer>) = this.group === group && peers === registered &&
            view.members.all { isResponsive(it) == it.name !in view.unresponsive }
    }

    private fun connectionTo(member: Member): HistoryConnection {
        val peers = membership().peers.historyDaemons()
        if (peers !== registered) {
            registered = peers
            val members = peers.map { it.member }.toSet()
            val unregistered = connections.keys.filter { it !in members }
            unregistered.forEach { connections.remove(it)?.close() }
        }
        return connections.getOrPut(member) { HistoryConnection(node.group, member, node.clock, node.log) }
    }
}
