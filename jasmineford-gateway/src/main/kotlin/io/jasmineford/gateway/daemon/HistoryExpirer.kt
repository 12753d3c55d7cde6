package io.jasmineford.gateway.daemon

import com.github.michaelbull.result.onErr
import com.github.michaelbull.result.onOk
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectMirror
import io.jasmineford.gateway.store.StoredObject
import io.jasmineford.gateway.turn.ExpiredEntries
import io.jasmineford.gateway.turn.ExpiryRound
import io.jasmineford.gateway.turn.HistoryConnection
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryQuorum
import io.jasmineford.gateway.turn.HistoryReplica
import io.jasmineford.gateway.turn.HistoryRequest
import io.jasmineford.gateway.turn.HistoryRetention
import kotlin.time.Duration

/**
 * Drops the entries of this daemon that have expired, once a majority of complete voters has told which of them are
 * still needed. How long entries are kept is read from the configuration.
 */
internal class HistoryExpirer(
    private val node: NodeRuntime,
    private val history: HistoryReplica,
    private val membership: Membership,
) {
    private val configurations = ObjectMirror(
        kind = ObjectKind.CONFIGURATION,
        context = node.mirrorContext.copy(watchPause = { CONFIGURATION_PAUSE }),
        watchWait = Membership.WATCH_WAIT,
    ) { applyConfiguration(it) }
    private val connections = HashMap<String, HistoryConnection>()
    private var age: Duration? = null

    /** Starts to read the configuration, and the periodic work. */
    fun start() {
        configurations.start()
        node.every(HistoryRetention.CHECK_PERIOD, ::check)
    }

    private fun applyConfiguration(objects: Collection<StoredObject>) {
        val stored = objects.firstOrNull { it.name == MAIN_CONFIGURATION } ?: return
        node.decoder.configuration(stored).onOk(::putInForce).onErr {
            node.log.event("configuration-unreadable", "revision" to stored.revision, "reason" to it)
        }
    }

    private fun putInForce(configuration: GatewayConfig) {
        val next = HistoryRetention.ageFor(configuration.routes)
        age = next
        history.keeper.keepFor(next)
    }

    private fun check() {
        history.maintain()
        age?.let(history.keeper::keepFor)
        val group = membership.storedGroup.group
        if (group == null || !isCompleteIn(group)) return
        val expired = history.keeper.expired()
        if (!expired.isEmpty) ask(group, expired)
    }

    private fun isCompleteIn(group: HistoryGroup) =
        history.status.isComplete && history.isStatusSynced && history.status.epoch == group.epoch

    private fun ask(group: HistoryGroup, expired: ExpiredEntries) {
        val round = ExpiryRound(group.epoch, group.majority)
        val voters = membership.peers.historyDaemons().filter { it.member.name in group.voters }
        var waiting = voters.size
        if (waiting == 0) decide(group, expired, round)
        voters.forEach { peer ->
            val stamp = group.stampFor(peer.member.name)
            val request = HistoryRequest.asksForNeeded(expired)
            connectionTo(peer).send(stamp, request, HistoryQuorum.REPLY_TIMEOUT) { reply ->
                round.accept(reply)
                if (--waiting == 0) decide(group, expired, round)
            }
        }
    }

    private fun decide(group: HistoryGroup, expired: ExpiredEntries, round: ExpiryRound) {
        if (round.hasMajority && isCompleteIn(group)) history.keeper.drop(expired, round.needed)
    }

    private fun connectionTo(peer: Peer): HistoryConnection {
        val key = "${peer.member.name}/${peer.member.incarnation}"
        return connections.getOrPut(key) { HistoryConnection(node.group, peer.member, node.clock, node.log) }
    }

    private companion object {
        const val MAIN_CONFIGURATION = "main"

        /** Time between a change of the configuration and the next watch; ages are much longer. */
        val CONFIGURATION_PAUSE = HistoryRetention.CHECK_PERIOD
    }
}
