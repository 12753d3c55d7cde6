package io.jasmineford.gateway.daemon

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.call.PoisonCallDetector
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.cost.WorkPlacement
import io.jasmineford.gateway.cost.WorkPlacementSettings
import io.jasmineford.gateway.cost.WorkReports
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointDirectory
import io.jasmineford.gateway.endpoint.RatePart
import io.jasmineford.gateway.endpoint.SendingFleet
import io.jasmineford.gateway.endpoint.ServiceDemand
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.limit.RateLimitTolerance
import io.jasmineford.gateway.limit.ReportAge
import io.jasmineford.gateway.limit.UsageReport
import io.jasmineford.gateway.limit.UsageSource
import io.jasmineford.gateway.peer.Cached
import io.jasmineford.gateway.peer.EntryExchange
import io.jasmineford.gateway.peer.Heartbeat
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerRole
import io.jasmineford.gateway.peer.PeerTable
import io.jasmineford.gateway.store.StoreContact
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Contact with the platform's store and the configuration in force, null before one is known. */
internal data class StoreState(val contact: StoreContact, val config: GatewayConfig?)

/**
 * Settings of [EntryState].
 *
 * @property tolerance tolerated use beyond the accounts' rate limits.
 */
internal data class EntryStateSettings(
    val tolerance: RateLimitTolerance,
    val workPlacement: WorkPlacementSettings = WorkPlacementSettings(),
)

/**
 * Load, usage and crash state of an entry daemon, and what its neighbours in the exchange report of the other daemons.
 *
 * Each heartbeat carries the sum of what the receiver can't hear otherwise: a relay passes on to the other relays what
 * its leaves report, and to each leaf what everyone else reports.
 */
internal class EntryState(
    private val self: Member,
    private val clock: MonotonicClock,
    settings: EntryStateSettings,
    private val storeState: () -> StoreState,
    private val peers: () -> PeerTable,
    private val exchange: () -> EntryExchange,
) {
    private val programsTold = HashMap<String, Long>()
    private val currentNeighbours = Cached(clock) {
        val table = peers()
        table.all.filter { it.member.isEntry && table.isHeard(it) && exchange().roleOf(it) != PeerRole.OTHER }
    }
    private var countedAt = -Duration.INFINITE

    /** Whether calls in flight at peers were counted at an endpoint by the latest sum. */
    private var hasCallsAtPeers = false

    /** Endpoints with their calls in flight. */
    val directory = EndpointDirectory(clock)

    /** Placement of calls by the work that endpoints have left. */
    val placement = WorkPlacement(clock, directory, settings.workPlacement)
    private val workReports = WorkReports(directory, placement)

    /** Calls that arrive for each service. */
    val serviceDemand = ServiceDemand(clock) { service ->
        currentNeighbours.value.sumOf { it.heartbeat?.demand?.get(service) ?: 0.0 }
    }

    /** Number of calls by program. */
    val activity = ProgramActivity(clock)

    /** Requests that repeatedly broke endpoints. */
    val poisonCalls = PoisonCallDetector(clock)

    /** Rate limits of the client accounts. */
    val rateLimiter = AccountRateLimiter(
        clock = clock,
        tolerance = settings.tolerance,
        unresponsiveDaemons = { exchange().silentCount() },
        unknownUsage = { exchange().unknownUsage },
        daemonCount = { exchange().daemonCount() },
        reports = {
            val delay = if (exchange().selection.isMesh) Duration.ZERO else RELAYED_REPORT_DELAY
            ReportAge(delay, exchange().reportLag)
        },
    )

    /** Heartbeat for [receiver] with this daemon's state. */
    fun heartbeat(isReady: Boolean, isLeaving: Boolean, receiver: Peer): Heartbeat {
        val (contact, config) = storeState()
        val age = contact.age()
        val forwards = forwardedTo(receiver)
        val forwarded = forwardedNeighbours(forwards)
        // What has changed since a message that the receiver has echoed is repeated only for some time.
        val isComplete = receiver.echoedSentAt?.let { clock.now() - it > MAX_ECHO_AGE } ?: true
        val told = programsTold.put(receiver.member.name, activity.latestChange) ?: 0
        val own = Heartbeat(
            from = self.name,
            incarnation = self.incarnation,
            sequence = 0,
            isReady = isReady,
            isLeaving = isLeaving,
            contactAgeMillis = if (age.isFinite()) age.inWholeMilliseconds else -1,
            configVersion = config?.version ?: -1,
            inFlight = inFlightBehind(forwarded),
            demand = demandBehind(forwarded),
            uses = rateLimiter.usage(isComplete) { source -> forwards(source.daemon, source.isRelay) },
            crashes = poisonCalls.counts(),
            crashReports = poisonCalls.reports(),
            responses = poisonCalls.responses,
            programs = activity.changesSince(told) { name -> isForwardedProgram(name, forwards) },
            isUsageComplete = isComplete,
            rates = directory.recentRates(
                age = if (receiver.mayKnowRates) RATE_REPEAT_TIME else Duration.INFINITE,
                count = MAX_RATES,
            ),
        )
        return exchange().addressed(workReports.addTo(own, forwarded.mapNotNull { it.heartbeat }), receiver)
    }

    /** Applies the latest heartbeat of [peer]. */
    fun applyHeartbeat(peer: Peer) {
        val heartbeat = peer.heartbeat ?: return
        val (contact, config) = storeState()
        val role = exchange().roleOf(peer)
        if (role != PeerRole.OTHER) {
            val report = UsageReport(
                source = UsageSource(heartbeat.from, isRelay = role != PeerRole.LEAF),
                incarnation = heartbeat.incarnation,
                uses = heartbeat.uses,
                isComplete = heartbeat.isUsageComplete || role == PeerRole.DIRECT,
                isNewSource = hasJustStarted(peer),
                epoch = if (role == PeerRole.OWN_RELAY) exchange().ownRelayChanges else heartbeat.relayChanges,
                coversAll = heartbeat.daemons > 0,
            )
            rateLimiter.applyPeerUsage(report) { config?.accounts?.get(it) }
            activity.applyPeerCounts(heartbeat.from, heartbeat.programs)
        }
        poisonCalls.merge(heartbeat.crashReports, heartbeat.crashes, heartbeat.responses)
        // A peer with a newer configuration version confirms that version, not the one in force here.
        val confirmation = peer.storeContact()?.takeIf { it.configVersion <= (config?.version ?: -1) }
        if (confirmation != null) contact.confirm(confirmation.confirmedAt)
        if (clock.now() - countedAt > COUNT_PERIOD) countInFlight()
    }

    /** Part of this daemon in the rates that all daemons share at [endpoint]. */
    fun ratePart(endpoint: Endpoint): RatePart {
        val selection = exchange().selection
        val heard = 1 - exchange().silentCount().toDouble() / exchange().daemonCount().coerceAtLeast(1)
        val fleet = SendingFleet(count = selection.entryCount, heardFraction = heard)
        return RatePart(serviceDemand.share(endpoint.service, fleet), selection.rankFor(endpoint.id))
    }

    /** Sums the calls in flight that the live neighbours report for each endpoint. */
    fun countInFlight() {
        countedAt = clock.now()
        // Neighbours report endpoints with calls only, of which there are far fewer than endpoints times neighbours.
        val total = HashMap<String, Int>()
        currentNeighbours.value.forEach { peer ->
            peer.heartbeat?.inFlight?.forEach { (id, calls) -> total.merge(id, calls, Int::plus) }
        }
        // Runs at each tick, and an idle fleet has no calls to distribute over its many endpoints.
        if (total.isNotEmpty() || hasCallsAtPeers) {
            directory.all.forEach { it.inFlightAtPeers = total[it.endpoint.id] ?: 0 }
            // The work is told by the same lists as the calls in flight.
            workReports.apply(currentNeighbours.value.mapNotNull { it.heartbeat })
        }
        hasCallsAtPeers = total.isNotEmpty()
    }

    /**
     * Tells by name and role whether what a neighbour reports is passed on to [receiver]: to a leaf all but its own, to
     * another relay what the leaves report, and nothing by a daemon that is not a relay.
     */
    private fun forwardedTo(receiver: Peer): (String, Boolean) -> Boolean {
        val isToLeaf = exchange().roleOf(receiver) == PeerRole.LEAF
        return when {
            !exchange().isRelay() && !isToLeaf -> { _, _ -> false }
            isToLeaf -> { name, isRelay -> isRelay || name != receiver.member.name }
            else -> { name, isRelay -> !isRelay && name != receiver.member.name }
        }
    }

    private fun isForwardedProgram(name: String, forwards: (String, Boolean) -> Boolean): Boolean {
        val isRelay = peers().byName[name]?.let { exchange().roleOf(it) != PeerRole.LEAF } ?: true
        return forwards(name, isRelay)
    }

    private fun forwardedNeighbours(forwards: (String, Boolean) -> Boolean): List<Peer> =
        currentNeighbours.value.filter { forwards(it.member.name, exchange().roleOf(it) != PeerRole.LEAF) }

    private fun demandBehind(neighbours: List<Peer>): Map<String, Double> {
        val limited = HashSet<String>()
        directory.all.forEach { if (it.mayBeLimited) limited.add(it.endpoint.service) }
        serviceDemand.setReported(limited)
        val total = HashMap<String, Double>()
        limited.forEach { total[it] = serviceDemand.local(it) }
        neighbours.forEach { peer ->
            peer.heartbeat?.demand?.forEach { (service, calls) -> total.merge(service, calls, Double::plus) }
        }
        return total
    }

    private fun inFlightBehind(neighbours: List<Peer>): Map<String, Int> {
        val total = HashMap<String, Int>()
        directory.all.forEach { if (it.inFlight > 0) total[it.endpoint.id] = it.inFlight }
        neighbours.forEach { peer ->
            peer.heartbeat?.inFlight?.forEach { (id, calls) -> total.merge(id, calls, Int::plus) }
        }
        return total
    }

    private fun hasJustStarted(peer: Peer): Boolean =
        peer.isStartSeen && clock.now() - peer.firstSeenAt < NEW_PEER_TIME

    private companion object {
        /** Time from its registration in which the whole usage of a daemon is recent. */
        val NEW_PEER_TIME = 3.seconds

        /** Shorter than the time for which a change of the usage is repeated. */
        val MAX_ECHO_AGE = 700.milliseconds

        /** Mean age of the other daemons' usage, through up to two relays. */
        val RELAYED_REPORT_DELAY = 200.milliseconds

        /** Time for which an observed rate is repeated: some heartbeats, since single ones may be lost. */
        val RATE_REPEAT_TIME = 700.milliseconds

        /** Rates in one heartbeat, which then stays below the size of a datagram. */
        const val MAX_RATES = 64

        /** Shortest time between two sums of the calls in flight; short relative to the period of heartbeats. */
        val COUNT_PERIOD = 20.milliseconds
    }
}
