package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.CallHeaderNames
import io.jasmineford.gateway.call.CallServices
import io.jasmineford.gateway.call.Dispatcher
import io.jasmineford.gateway.call.EndpointSender
import io.jasmineford.gateway.call.TurnCoordinator
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.RouteLatencyBaseline
import io.jasmineford.gateway.http.CallerServer
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.metrics.MetricsServer
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerTable
import io.jasmineford.gateway.turn.TokenReserver
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Daemon that callers connect to. */
class EntryDaemon(
    private val node: NodeRuntime,
    names: CallHeaderNames,
) {
    private val metrics = CallMetrics()
    private val state = EntryState(node) { peers }
    private val view = StoreView(node, ::endpointsChanged, ::zonesEvacuated)
    private val membership: Membership = Membership(
        node = node,
        stateOf = { state.heartbeat(view, isReady, stop.isBegun) },
        onHeard = ::heard,
    )
    private val peers: PeerTable get() = membership.peers
    private val dispatcher = Dispatcher(
        chooser = EndpointChooser(state.directory, node.settings.zone, node.clock) { peers.entryCount() },
        clock = node.clock,
    )
    private val sender = EndpointSender(node.group, node.clock, names, state.directory::isUsable)
    private val quorum = HistoryClients(node) { membership }.quorum
    private val services = CallServices(
        clock = node.clock,
        wallMillis = node.wallMillis,
        scheduler = node.scheduler,
        names = names,
        dispatcher = dispatcher,
        turns = TurnCoordinator(quorum, TokenReserver(quorum, node.scheduler, node.log)),
        poisonCalls = state.suspects,
        sender = sender,
        log = node.log,
        activity = state.activity,
        rateLimiter = state.meter,
        metrics = metrics,
        latencyBaseline = RouteLatencyBaseline(),
    )
    private val server: CallerServer = CallerServer(
        group = node.group,
        limits = { view.config?.limits ?: DEFAULT_LIMITS },
        isClosing = { stop.isBegun },
        log = node.log,
        handler = CallIntake(services, view, node.settings.bounds),
    )
    private val stop: PlannedStop = PlannedStop(node, server)
    private val contactKeeper = ContactKeeper(node.clock, view.contact, view.configurations) { isContactLeader() }

    /** Whether callers may be sent here. */
    val isReady: Boolean get() = !stop.isBegun && view.isGood

    /** Opens the sockets; called outside the event loop, on which everything else runs. */
    fun open() {
        server.open(requireNotNull(node.settings.callers) { "an entry daemon needs an address for callers" })
        membership.open()
        metrics.gauge("jasmineford_waiting_calls", "Calls that wait for an endpoint") { dispatcher.waiting.toDouble() }
        metrics.gauge("jasmineford_store_contact_age_seconds", "Age of the newest proof of store contact") {
            view.contact.age().toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge("jasmineford_config_version", "Version in force") { view.config?.version?.toDouble() ?: -1.0 }
        MetricsServer(node.group, node.log, metrics).open(node.settings.metrics)
    }

    /** Starts to mirror the store. */
    fun start() {
        membership.start()
        view.start()
        node.every(TICK_PERIOD, ::tick)
        node.every(CLEANING_PERIOD) { if (isContactLeader()) membership.removeGone() }
        node.log.event("started", "role" to "entry", "name" to node.settings.name, "zone" to node.settings.zone)
    }

    /** Addresses for callers of [zone]: those of the zone when there are at least two, else all. */
    fun addressesFor(zone: String?): List<String> {
        val serving = peers.servingEntries() + listOfNotNull(node.self.takeIf { isReady })
        val near = serving.filter { it.zone == zone }
        return (if (near.size >= LEAST_ADDRESSES) near else serving).map(Member::callers)
    }

    /** Leaves the address answers, finishes open calls within [grace] and calls [onStopped]. */
    fun stop(grace: Duration, onStopped: () -> Unit) {
        stop.begin(grace, onStopped)
        membership.tell()
    }

    private fun heard(peer: Peer) {
        if (!peer.member.isEntry) return
        state.hear(peer, view)
        dispatcher.assignWaiting()
    }

    private fun tick() {
        contactKeeper.check()
        if (state.meter.hasUnreportedUsage()) {
            state.meter.markReported()
            membership.tell()
        }
        dispatcher.assignWaiting()
    }

    /** The first daemon by name among those in touch asks the store for all of them. */
    private fun isContactLeader(): Boolean = peers.all.none {
        val isBefore = it.member.isEntry && it.member.name < node.self.name
        isBefore && peers.isHeard(it) && (it.heartbeat?.contactAgeMillis ?: -1) >= 0
    }

    private fun endpointsChanged(endpoints: List<Endpoint>) {
        state.directory.replace(endpoints)
        sender.keepOnly(endpoints.map { it.address }.toSet())
        state.countInFlight()
        dispatcher.assignWaiting()
    }

    private fun zonesEvacuated(zones: Set<String>) {
        state.directory.evacuate(zones)
        dispatcher.assignWaiting()
    }

    private companion object {
        /** Limits before the first configuration is there; calls are refused then anyway. */
        val DEFAULT_LIMITS = CallLimits(
            maxHeaderBytes = 16_384,
            maxBodyBytes = 4_194_304,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )

        /** Addresses of one zone that are enough if one of them fails. */
        const val LEAST_ADDRESSES = 2
        val TICK_PERIOD = 50.milliseconds
        val CLEANING_PERIOD = 20.seconds
    }
}
