package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectMirror
import io.jasmineford.gateway.store.StoreReply
import io.jasmineford.gateway.store.StoredObject
import io.jasmineford.gateway.turn.HistoryGroup
import io.jasmineford.gateway.turn.HistoryReplica
import kotlinx.serialization.json.JsonElement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decommissions this machine on request of the operators: another voter takes its place in the group first, then the
 * voters copy its entries, and at last its registration is removed.
 *
 * @param statusOf status object that reports to the operators whether the retirement is completed.
 */
internal class Retirement(
    private val node: NodeRuntime,
    private val history: HistoryReplica,
    private val membership: Membership,
    private val statusOf: (isCompleted: Boolean) -> JsonElement,
) {
    private val mirror = ObjectMirror(
        kind = ObjectKind.RETIREMENT,
        context = node.mirrorContext,
        watchWait = Membership.WATCH_WAIT,
    ) { apply(it) }
    private var isCompleted = false
    private var reportedAt = -Duration.INFINITE

    /** Names of the daemons whose machines are being retired. */
    var names: Set<String> = emptySet()
        private set

    /** Whether this machine is being retired. */
    val isThisMachine: Boolean get() = node.settings.name in names

    /** Starts to watch the operators' requests. */
    fun start() = mirror.start()

    /** Reports the retirement as completed once all voters of [group] are complete and hold this machine's entries. */
    fun reportIfCompleted(group: HistoryGroup) {
        val isDue = isThisMachine && !isCompleted && node.settings.name !in group.voters
        if (isDue && node.clock.now() - reportedAt > REPORT_INTERVAL && isCopied(group)) report()
    }

    private fun isCopied(group: HistoryGroup): Boolean {
        val complete = membership.peers.historyDaemons()
            .filter { it.heartbeat?.isReady == true && membership.peers.isHeard(it) }.map { it.member.name }
        return group.voters.all { it in complete && (history.copiedUpTo[it] ?: -1) >= history.end }
    }

    private fun report() {
        reportedAt = node.clock.now()
        node.store.putStatus(ObjectKind.RETIREMENT, node.settings.name, statusOf(true)) { reply ->
            node.log.event("retirement-completed", "entries" to history.size, "reply" to reply)
            if (reply is StoreReply.Success) {
                isCompleted = true
                membership.deregister()
            }
        }
    }

    private fun apply(objects: Collection<StoredObject>) {
        val wasThisMachine = isThisMachine
        names = objects.map { it.name }.toSet()
        if (isThisMachine && !wasThisMachine) {
            node.log.event("retirement-started", "entries" to history.size)
            node.store.putStatus(ObjectKind.RETIREMENT, node.settings.name, statusOf(false)) { reply ->
                node.log.event("retirement-running", "reply" to reply)
            }
            membership.sendHeartbeats()
        }
    }

    private companion object {
        /** Time between repeated reports while the store does not accept them. */
        val REPORT_INTERVAL = 500.milliseconds
    }
}
