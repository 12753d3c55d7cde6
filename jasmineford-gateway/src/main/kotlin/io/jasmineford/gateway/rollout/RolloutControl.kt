package io.jasmineford.gateway.rollout

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerRole
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Effects of [RolloutControl].
 *
 * @property write writes a status.
 * @property read starts to read the orders.
 * @property onDecision called with each phase or final state that this daemon applies.
 * @property announce sends heartbeats at once.
 */
internal class RolloutEffects(
    val write: StatusWrite,
    val read: () -> Unit,
    val onDecision: (String) -> Unit = {},
    val announce: () -> Unit = {},
)

/** Follows and, on the leading daemon, coordinates the rollouts of all services. */
internal class RolloutControl(
    private val clock: MonotonicClock,
    private val gate: VersionGate,
    directory: EndpointDirectory,
    private val fleet: RolloutFleet,
    private val effects: RolloutEffects,
    eventLog: EventLog,
) {
    private val log = RolloutLog(eventLog)
    private val tracker = OrderTracker(clock, gate, ::orderChanged)
    private val writer = RolloutStatusWriter(clock, effects.write, effects.read, log::written)
    private val reports = ReportTable()
    private val pace = SendPace()
    private val views = FleetViews(fleet, directory, reports, isCutOff = { isCutOff })
    private val choice = CoordinatorChoice(fleet, isCutOff = { isCutOff })
    private val isCutOff get() = writer.isFailing || (fleet.storeOutage() ?: Duration.ZERO) > MAX_STORE_OUTAGE
    private val coordinators = HashMap<RolloutProgress, RolloutCoordinator>()
    private val leaderSince = HashMap<RolloutProgress, Duration>()
    private var decidedAt = -Duration.INFINITE
    private var wasInContact = false

    /** Rollouts without a final state. */
    val open: List<RolloutProgress> get() = gate.rollouts.values.filter { it.outcome == null }

    /** Applies the orders that the store holds. */
    fun applyOrders(orders: List<StoredOrder>, unreadable: Set<String> = emptySet()) {
        tracker.apply(orders, unreadable)
        val services = open.map { it.order.service }.toSet()
        reports.retain { it in services }
        coordinators.keys.retainAll(open.toSet())
        leaderSince.keys.retainAll(open.toSet())
    }

    /** Adds to [heartbeat] what [receiver] has to know of rollouts that are open, or that it takes for open. */
    fun addTo(heartbeat: Heartbeat, receiver: Peer): Heartbeat {
        val rollouts = open
        val ended = endedFor(receiver)
        return if (rollouts.isEmpty() && ended.isEmpty()) heartbeat else extend(heartbeat, receiver, rollouts, ended)
    }

    private fun extend(
        heartbeat: Heartbeat,
        receiver: Peer,
        rollouts: List<RolloutProgress>,
        ended: List<RolloutProgress>,
    ): Heartbeat {
        val now = clock.now()
        val name = receiver.member.name
        val isToLeaf = fleet.exchange().roleOf(receiver) == PeerRole.LEAF
        val own = if (isToLeaf) emptyList() else rollouts.map(views::ownReport)
        val (isDue, sent) = when {
            isToLeaf -> pace.isStateDue(name, now) to emptyList()
            !fleet.exchange().isRelay() -> pace.isReportDue(name, own, now) to own
            rollouts.any { choice.amongPeers(it)?.name == name } -> true to own + reports.dueFor(name, now)
            else -> true to emptyList()
        }
        if (!isDue) return heartbeat
        return heartbeat.copy(
            rollouts = (rollouts + ended).map { it.state(now).copy(isCutOff = isCutOff) },
            rolloutReports = sent,
        )
    }

    /** Rollouts that have a final state here and none at [receiver], which may be cut off from the store. */
    private fun endedFor(receiver: Peer): List<RolloutProgress> =
        receiver.heartbeat?.rollouts.orEmpty().filter { it.outcome == null }.mapNotNull { state ->
            gate.rollouts[state.service]?.takeIf { it.outcome != null && it.opened == state.opened }
        }

    /** Applies the latest heartbeat of [peer]. */
    fun onHeartbeat(peer: Peer) {
        val heartbeat = peer.heartbeat ?: return
        val now = clock.now()
        heartbeat.rollouts.forEach { state ->
            val rollout = gate.rollouts[state.service]?.takeIf { it.outcome == null } ?: return@forEach
            val hasChanged = rollout.merge(state, peer.echoedSentAt, now)
            if (hasChanged) phaseChanged(rollout, PhaseCause("heartbeat", peer.member.name))
        }
        val isLeaf = fleet.exchange().roleOf(peer) == PeerRole.LEAF
        heartbeat.rolloutReports.forEach { reports.apply(it, isRelayed = isLeaf, now) }
    }

    /** Coordinates the open rollouts if this daemon is the leading one; called periodically. */
    fun tick() {
        val rollouts = open
        val now = clock.now()
        if (rollouts.isEmpty() || now - decidedAt < DECISION_PERIOD) return
        // After a suspension this daemon does not know what the others have decided meanwhile.
        val isInContact = fleet.contactAge() < FleetViews.MAX_CONTACT_AGE
        if (now - decidedAt > MAX_PAUSE || (wasInContact && !isInContact)) leaderSince.clear()
        wasInContact = isInContact
        decidedAt = now
        rollouts.forEach { rollout ->
            if (choice.isOwn(rollout)) {
                // A daemon that has just started hears of the others, and of what they have decided, in the meantime.
                val since = leaderSince.getOrPut(rollout) { now }
                if (now - since >= SETTLE_TIME) coordinate(rollout, now)
            } else {
                leaderSince.remove(rollout)
                coordinators.remove(rollout)
            }
        }
    }

    private fun coordinate(rollout: RolloutProgress, now: Duration) {
        val coordinator = coordinators.getOrPut(rollout) { RolloutCoordinator(rollout) }
        val view = views.of(rollout)
        if (view.isStoreReachable) rollout.confirm(now)
        val decision = coordinator.decide(view, now)
        if (decision != null && rollout.advance(decision.phase, now, decision.round)) {
            phaseChanged(rollout, PhaseCause(decision.reason, fleet.self.name, decision.evidence))
            effects.announce()
        }
        when {
            rollout.phase == RolloutPhase.ROLLBACK -> writer.request(rollout, RolloutOutcome.ROLLED_BACK)
            coordinator.isComplete(view, now) -> writer.request(rollout, RolloutOutcome.COMPLETED)
            rollout.order.ownStatus == null -> writer.request(rollout, RolloutOutcome.RUNNING)
        }
    }

    private fun orderChanged(name: String, rollout: RolloutProgress) {
        rollout.outcome?.let { effects.onDecision(it.name) }
        log.order(name, rollout)
    }

    private fun phaseChanged(rollout: RolloutProgress, cause: PhaseCause) {
        pace.phaseChanged(clock.now())
        effects.onDecision(rollout.outcome?.name ?: rollout.phase.name)
        log.phase(rollout, cause, clock.now())
    }

    private companion object {
        val DECISION_PERIOD = 100.milliseconds
        val SETTLE_TIME = 1500.milliseconds

        /** Longer pauses between two decisions count as a suspension of the process. */
        val MAX_PAUSE = 1.seconds

        /** Single reads may fail. */
        val MAX_STORE_OUTAGE = 1.seconds
    }
}
