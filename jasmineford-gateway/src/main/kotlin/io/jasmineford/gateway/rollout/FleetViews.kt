package io.jasmineford.gateway.rollout

import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.peer.EntryExchange
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.PeerTable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The fleet as a daemon sees it.
 *
 * @property contactAge age of the latest contact with the store, of this daemon or of another one that tells it.
 * @property storeOutage time for which this daemon's own reads of the store have failed, null while they succeed.
 */
internal class RolloutFleet(
    val self: Member,
    val peers: () -> PeerTable,
    val exchange: () -> EntryExchange,
    val contactAge: () -> Duration,
    val storeOutage: () -> Duration?,
)

/** Joins the reports of all processes and the endpoints to what a coordinator decides by. */
internal class FleetViews(
    private val fleet: RolloutFleet,
    private val directory: EndpointDirectory,
    private val reports: ReportTable,
    private val isCutOff: () -> Boolean,
) {
    /** What this daemon knows of the fleet for [rollout]. */
    fun of(rollout: RolloutProgress): FleetView {
        val own = ownReport(rollout)
        val all = reports.of(rollout.order.service, rollout.opened) + (own.process to own)
        val usable = directory.usable(rollout.order.service)
        val new = usable.count { it.endpoint.version == rollout.order.to }
        return FleetView(
            tallies = all.values.flatMap { it.tallies }.groupBy { it.route to it.isNew }.values
                .map { it.reduce(RouteTally::plus) },
            bad = HashMap<Int, Long>().apply {
                all.values.forEach { report -> report.bad.forEach { (id, count) -> merge(id, count, Long::plus) } }
            },
            newEndpoints = new,
            oldEndpoints = usable.size - new,
            isStoreReachable = fleet.contactAge() < MAX_CONTACT_AGE && !isCutOff(),
            agreement = { phase -> agreement(phase, rollout.round, all) },
        )
    }

    private fun agreement(phase: RolloutPhase, round: Int, all: Map<Int, RolloutReport>): FleetAgreement {
        val peers = fleet.peers()
        val members = peers.all.filter { it.member.isEntry && peers.mayAdmitCalls(it) }
        val isIdleRequired = phase > RolloutPhase.CANARY
        val missing = members.filterNot { peer ->
            val report = all[processId(peer.member.name, peer.member.incarnation)]
            val isAtPhase = report != null && report.round == round && report.phase >= phase
            // The last report of a daemon that is silent says that it serves, not that it would learn of a change.
            isAtPhase && (if (isIdleRequired) report.oldInFlight == 0 else peers.isAlive(peer))
        }
        val own = all.getValue(processId(fleet.self.name, fleet.self.incarnation))
        return when {
            isIdleRequired && own.oldInFlight > 0 -> FleetAgreement.NONE
            missing.any { peers.isAlive(it) } -> FleetAgreement.NONE
            missing.isNotEmpty() -> FleetAgreement.HEARD
            else -> FleetAgreement.ALL
        }
    }

    /** Report of this process on [rollout]. */
    fun ownReport(rollout: RolloutProgress): RolloutReport {
        val order = rollout.order
        // Only the later phases wait for these calls, and each of them would change the report.
        val isIdleAwaited = rollout.phase > RolloutPhase.CANARY
        val oldInFlight = directory.all
            .filter { isIdleAwaited && it.endpoint.service == order.service && it.endpoint.version != order.to }
            .sumOf { it.inFlight }
        return RolloutReport(
            process = processId(fleet.self.name, fleet.self.incarnation),
            service = order.service,
            opened = rollout.opened,
            sequence = rollout.usage.sequenceOf(rollout.phase, rollout.round, oldInFlight),
            phase = rollout.phase,
            oldInFlight = oldInFlight,
            tallies = rollout.usage.all,
            bad = rollout.usage.bad,
            round = rollout.round,
        )
    }

    companion object {
        /** The leading daemon reads the store every second, and a slow store takes some hundred milliseconds. */
        val MAX_CONTACT_AGE = 2500.milliseconds
    }
}
