package io.jasmineford.gateway.daemon

import io.jasmineford.gateway.call.CallHeaderNames
import io.jasmineford.gateway.call.CallServices
import io.jasmineford.gateway.call.Dispatcher
import io.jasmineford.gateway.call.EndpointSender
import io.jasmineford.gateway.call.FirstStep
import io.jasmineford.gateway.call.LeavingReader
import io.jasmineford.gateway.call.NamedRateReader
import io.jasmineford.gateway.call.StreamVersions
import io.jasmineford.gateway.call.TurnCoordinator
import io.jasmineford.gateway.call.UnmatchedResponse
import io.jasmineford.gateway.config.CallLimits
import io.jasmineford.gateway.cost.CallObserver
import io.jasmineford.gateway.cost.WorkPlacementSettings
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.PlacementExplainer
import io.jasmineford.gateway.endpoint.RouteLatencyBaseline
import io.jasmineford.gateway.http.CallerServer
import io.jasmineford.gateway.http.MemoryBudget
import io.jasmineford.gateway.http.ProcessResources
import io.jasmineford.gateway.load.LoopLagMeter
import io.jasmineford.gateway.load.OverloadLog
import io.jasmineford.gateway.load.PressureGate
import io.jasmineford.gateway.load.ThreadCpuTime
import io.jasmineford.gateway.log.endpointRate
import io.jasmineford.gateway.metrics.CallMetrics
import io.jasmineford.gateway.metrics.MetricsServer
import io.jasmineford.gateway.peer.EntryExchange
import io.jasmineford.gateway.peer.Member
import io.jasmineford.gateway.peer.Peer
import io.jasmineford.gateway.peer.PeerRole
import io.jasmineford.gateway.peer.PeerTable
import io.jasmineford.gateway.rollout.RolloutFormat
import io.jasmineford.gateway.turn.StreamOrigins
import io.jasmineford.gateway.turn.TokenReserver
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Daemon that accepts callers' connections and dispatches their calls to endpoints.
 *
 * @param rolloutFormat form of rollouts in the store; null where they are not in use.
 */
class EntryDaemon(
    private val node: NodeRuntime,
    names: CallHeaderNames,
    rolloutFormat: RolloutFormat? = null,
) {
    private val metrics = CallMetrics()
    private val state = EntryState(
        self = node.self,
        clock = node.clock,
        settings = EntryStateSettings(
            tolerance = node.settings.bounds.rateLimitTolerance,
            workPlacement = WorkPlacementSettings(node.settings.placesByWork, node.log),
        ),
        storeState = { StoreState(view.contact, view.config) },
        peers = { peers },
        exchange = { exchange },
    )
    private val view: StoreView = StoreView(node, ::endpointsChanged, ::zonesEvacuated) { peers.batchTime(it) }
    private val lagMeter = LoopLagMeter(node.clock, TICK_PERIOD, ThreadCpuTime())
    private val pressureGate = PressureGate(node.clock, lagMeter)
    private val overloadLog = OverloadLog(node.clock, lagMeter, pressureGate, node.log)
    private val membership: Membership = Membership(
        node = node,
        policy = HeartbeatPolicy(
            targets = { exchange.targets() },
            content = { rollouts.addTo(state.heartbeat(isReady, shutdown.hasBegun, it), it) },
            onHeartbeat = ::onHeartbeat,
            onMembers = { exchange.membersChanged() },
        ),
    )
    private val peers: PeerTable get() = membership.peers
    private val exchange: EntryExchange =
        EntryExchange(node.self, membership.peers, node.clock) { pressureGate.pressure }
    private val rollouts: EntryRollouts = EntryRollouts(
        node = node,
        format = rolloutFormat,
        metrics = metrics,
        sources = RolloutSources(state.directory, { view.contact }, { membership }, { exchange }),
    )
    private val chooser = EndpointChooser(
        directory = state.directory,
        zone = node.settings.zone,
        clock = node.clock,
        byWork = state.placement,
        versions = rollouts.gate,
        partOf = state::ratePart,
    )
    private val dispatcher = Dispatcher(
        chooser = chooser,
        clock = node.clock,
        onArrival = state.serviceDemand::recordCall,
        isPressed = { pressureGate.isOverloaded },
    )
    private val rateReader = NamedRateReader(names, node.log)
    private val leavingReader = LeavingReader(names, node.log, state.directory::recordLeaving)
    private val sender = EndpointSender(
        group = node.group,
        clock = node.clock,
        names = names,
        onHead = { endpoint, head, sentAt ->
            leavingReader.read(endpoint, head)
            rateReader.read(endpoint, head.headers(), sentAt)
        },
        onUnmatched = ::recordUnmatched,
        isUsable = state.directory::isUsable,
    )
    private val historyClients = HistoryClients(node) { membership }
    private val quorum = historyClients.quorum
    private val memory = MemoryBudget(MAX_RESPONSE_BYTES, node.clock)
    private val services = CallServices(
        clock = node.clock,
        wallMillis = node.wallMillis,
        scheduler = node.scheduler,
        names = names,
        dispatcher = dispatcher,
        turns = TurnCoordinator(quorum, TokenReserver(quorum, node.scheduler, node.log)),
        poisonCalls = state.poisonCalls,
        sender = sender,
        log = node.log,
        activity = state.activity,
        rateLimiter = state.rateLimiter,
        metrics = metrics,
        latencyBaseline = RouteLatencyBaseline(),
        streamVersions = StreamVersions(StreamOrigins(quorum), state.directory::versionMix),
        memory = memory,
        observer = CallObserver(node.clock, state.placement, metrics::workEstimated),
        versionGate = rollouts.gate,
    )
    private val placementPage = PlacementPage(
        services = services,
        config = { view.config },
        explainer = PlacementExplainer(chooser),
        isOverloaded = { pressureGate.isOverloaded },
    )
    private val openCalls = OpenCalls(services)
    private val server: CallerServer = CallerServer(
        group = node.group,
        limits = { view.config?.limits ?: DEFAULT_LIMITS },
        isClosing = { shutdown.hasBegun },
        log = node.log,
        resources = node.resources.listener(ProcessResources.CALLER_SHARE, unread = memory),
        handler = CallerRequestHandler(
            services = services,
            storeState = { StoreState(view.contact, view.config) },
            bounds = node.settings.bounds,
            openCalls = openCalls,
            loadShedder = LoadShedder(names, pressureGate, state.activity, { view.config }, metrics),
            accepts = { shutdown.accepts(it) },
        ),
    )
    private val shutdown: GracefulShutdown =
        GracefulShutdown(node.clock, node.scheduler, node.log, server, openCalls)
    private val contactProber = StoreContactProber(
        clock = node.clock,
        contact = view.contact,
        configurations = view.configurations,
        isLeader = ::isContactLeader,
        isRelay = { exchange.isRelay() },
    )

    /** Whether this daemon is listed in answers to address requests. */
    val isReady: Boolean get() = !shutdown.hasBegun && view.isReadyToServe

    /** Opens the sockets. Called outside the event loop; all other functions run on it. */
    fun open() {
        server.open(requireNotNull(node.settings.callerAddress) { "an entry daemon needs an address for callers" })
        membership.open()
        metrics.gauge("jasmineford_waiting_calls", "Calls that wait for an endpoint") { dispatcher.waiting.toDouble() }
        metrics.gauge("jasmineford_limited_endpoints", "Endpoints that name the rate of calls that they take") {
            state.directory.all.count { it.namedRate.perSecond != null }.toDouble()
        }
        metrics.gauge("jasmineford_recent_turn_bytes", "Memory of the turns kept for those that continue them") {
            services.turns.cachedBytes.toDouble()
        }
        metrics.gauge("jasmineford_history_unread_bytes", "Bytes of requests that history daemons have not read") {
            historyClients.unreadBytes.toDouble()
        }
        metrics.gauge("jasmineford_leaving_endpoints", "Endpoints whose responses say that they are leaving") {
            state.directory.all.count { it.isLeaving }.toDouble()
        }
        metrics.gauge("jasmineford_loop_lag_seconds", "Time by which the event loop runs its timers late") {
            lagMeter.lag.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge("jasmineford_call_cpu_seconds", "Smoothed CPU time of the event loop per call") {
            lagMeter.cpuPerCall.toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge("jasmineford_pressure", "Overload as told to the other daemons; 0 without") {
            pressureGate.pressure
        }
        metrics.gauge("jasmineford_services_placed_by_work", "Services placed by work as speeds differ") {
            state.placement.switchedOnServices.toDouble()
        }
        metrics.gauge("jasmineford_remaining_work_seconds", "Largest remaining work of the calls at an endpoint") {
            (state.directory.all.maxOfOrNull { it.work.remainingMillis } ?: 0.0) / MILLIS_PER_SECOND
        }
        metrics.gauge("jasmineford_store_contact_age_seconds", "Age of the newest proof of store contact") {
            view.contact.age().toDouble(DurationUnit.SECONDS)
        }
        metrics.gauge("jasmineford_config_version", "Version in force") { view.config?.version?.toDouble() ?: -1.0 }
        rollouts.registerMetrics()
        metrics.observe(node.resources)
        MetricsServer(
            group = node.group,
            log = node.log,
            metrics = metrics,
            resources = node.resources.listener(ProcessResources.METRICS_SHARE),
            pages = mapOf(PlacementPage.PATH to placementPage::explain),
        ).open(node.settings.metricsAddress)
    }

    private fun recordUnmatched(response: UnmatchedResponse) {
        metrics.unmatchedResponse()
        node.log.event(
            "response-unmatched",
            "id" to response.attempt,
            "address" to response.address,
            "connection" to response.connection,
            "status" to response.status,
            "busy" to response.isBusy,
        )
    }

    /** Registers this daemon, starts the mirrors of the store and the periodic work. */
    fun start() {
        membership.start()
        view.start()
        rollouts.start()
        node.every(TICK_PERIOD, ::tick)
        node.every(CLEANUP_PERIOD) { if (isContactLeader()) membership.removeExpired() }
        node.log.event("started", "role" to "entry", "name" to node.settings.name, "zone" to node.settings.zone)
    }

    /**
     * Addresses of ready entry daemons for callers of [zone]: those in the zone when there are at least two, else all.
     */
    fun addressesFor(zone: String?): List<String> {
        val serving = exchange.advertised(isSelfServing = isReady)
        val inZone = serving.filter { it.zone == zone }
        return (if (inZone.size >= MIN_ZONE_ADDRESSES) inZone else serving).map(Member::callers)
    }

    /** Withdraws this daemon from address answers, lets open calls finish within [grace] and calls [onStopped]. */
    fun stop(grace: Duration, onStopped: () -> Unit) {
        shutdown.begin(grace, onStopped)
        membership.sendHeartbeats()
    }

    private fun onHeartbeat(peer: Peer) {
        if (!peer.member.isEntry) return
        val expectsReply = exchange.onHeartbeat(peer)
        state.applyHeartbeat(peer)
        rollouts.onHeartbeat(peer)
        val changed = state.directory.applyRates(peer.heartbeat?.rates.orEmpty())
        changed.forEach { node.log.endpointRate(it, source = peer.member.name) }
        if (expectsReply) membership.sendHeartbeat(peer)
        dispatcher.assignWaiting()
    }

    private fun tick() {
        lagMeter.onTimer()
        pressureGate.onTick()
        overloadLog.onTick()
        services.firstSteps.recordLag(lagMeter.lag)
        if (isReady) services.firstSteps.record(FirstStep.READY)
        state.countInFlight()
        contactProber.probeIfDue()
        rollouts.tick()
        state.rateLimiter.onTick()
        if (state.rateLimiter.hasUnreportedUsage()) {
            state.rateLimiter.markReported()
            membership.sendHeartbeats()
        }
        dispatcher.assignWaiting()
    }

    /**
     * Whether this daemon is a relay and no live one with store contact precedes it by name; the first one probes the
     * store for all.
     */
    private fun isContactLeader(): Boolean = exchange.isRelay() && peers.all.none {
        val isBefore = it.member.isEntry && it.member.name < node.self.name
        isBefore && peers.isHeard(it) && exchange.roleOf(it) == PeerRole.RELAY &&
            (it.heartbeat?.contactAgeMillis ?: -1) >= 0
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
        /** Limits before the first configuration is known; calls are refused until then. */
        val DEFAULT_LIMITS = CallLimits(
            maxHeaderBytes = 16_384,
            maxBodyBytes = 4_194_304,
            headerTimeout = 3.seconds,
            idleTimeout = 15.seconds,
        )

        /**
         * Bytes of responses that are held at a time. Copies of them take up to three times as much, and the process
         * has some 90 MB.
         */
        const val MAX_RESPONSE_BYTES = 12L * 1024 * 1024

        /** With two addresses in a zone, callers still have one when the other fails. */
        const val MIN_ZONE_ADDRESSES = 2
        const val MILLIS_PER_SECOND = 1000.0
        val TICK_PERIOD = 50.milliseconds
        val CLEANUP_PERIOD = 20.seconds
    }
}
