package io.jasmineford.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.grpc.Server
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.FleetMember
import io.jasmineford.core.config.isOut
import io.jasmineford.core.lease.Membership
import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.core.objective.CallCounters
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.core.time.systemMonotonicClock
import io.jasmineford.daemon.call.CallRouter
import io.jasmineford.daemon.call.EndpointQueue
import io.jasmineford.daemon.call.EngineCacheCleaner
import io.jasmineford.daemon.call.EngineClient
import io.jasmineford.daemon.call.ModelCalls
import io.jasmineford.daemon.call.ServiceCalls
import io.jasmineford.daemon.call.ServiceClient
import io.jasmineford.daemon.caller.AddressService
import io.jasmineford.daemon.caller.AdmissionGate
import io.jasmineford.daemon.caller.CallerPort
import io.jasmineford.daemon.caller.KeyGuard
import io.jasmineford.daemon.caller.callerModule
import io.jasmineford.daemon.control.ConfigurationControl
import io.jasmineford.daemon.control.MembershipDriver
import io.jasmineford.daemon.control.ShardDriver
import io.jasmineford.daemon.endpoint.CrashReports
import io.jasmineford.daemon.limit.LimitDriver
import io.jasmineford.daemon.operator.DaemonStatus
import io.jasmineford.daemon.operator.OperatorPort
import io.jasmineford.daemon.operator.PeerStatus
import io.jasmineford.daemon.operator.operatorModule
import io.jasmineford.daemon.peer.GrpcMembershipPeers
import io.jasmineford.daemon.peer.OwnershipPort
import io.jasmineford.daemon.peer.PeerClients
import io.jasmineford.daemon.peer.PeerPort
import io.jasmineford.daemon.peer.PeerService
import io.jasmineford.daemon.peer.exchange
import io.jasmineford.daemon.peer.peerServer
import io.jasmineford.daemon.peer.renewFor
import io.jasmineford.daemon.peer.toMember
import io.jasmineford.daemon.peer.toMessage
import io.jasmineford.daemon.peer.toView
import io.jasmineford.daemon.settings.EntrySettings
import io.jasmineford.daemon.settings.journalSettings
import io.jasmineford.daemon.settings.membershipSettings
import io.jasmineford.daemon.settings.objectives
import io.jasmineford.daemon.settings.syncSettings
import io.jasmineford.protocol.CrashReply
import io.jasmineford.protocol.ProbeReply
import io.jasmineford.store.ObjectStore
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.server.application.Application
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.UUID
import java.util.concurrent.Executors
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import io.ktor.server.cio.CIO as ServerCio

/**
 * One entry daemon: the caller, operator and peer ports, and the drivers that connect the state machines of
 * jasmineford-core to the store, peers and endpoints.
 *
 * @param incarnationSource returns a number greater than that of any earlier incarnation of this VM.
 */
class EntryDaemon(
    private val settings: EntrySettings,
    private val store: ObjectStore,
    private val clock: MonotonicClock = systemMonotonicClock(),
    private val incarnationSource: () -> Long = { System.currentTimeMillis() },
) {
    private val control = Executors.newSingleThreadExecutor { Thread(it, "control-${settings.vm}").apply { isDaemon = true } }
        .asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + control)
    private val newNonce: () -> String = { UUID.randomUUID().toString() }
    private val holder = ConfigurationHolder(clock, settings.configurationMaxProofAgeMs.milliseconds)
    private val counters = CallCounters(clock)
    private val decisions = DecisionLog(settings.vm, wallClock = System::currentTimeMillis)
    private val metrics = DaemonMetrics()
    private val client = HttpClient(CIO) { install(HttpTimeout) }
    private val crashReports = CrashReports(scope) {
        membership.leases().values.filter { it.identity.vm != settings.vm }.map { peers.stub(it.identity.peerAddress) }
    }
    private val queue = EndpointQueue(clock, control, decisions, reportCrash = crashReports::send)
    private val peers = PeerClients(settings.vm, clock) { holder.current.generation }
    private val keyGuard = KeyGuard(control, holder)
    private val configuration = CompletableDeferred<ConfigurationControl>()
    private val requests = RequestsInFlight()
    private val addresses = addressService()
    private var isLeaving = false
    private var isClosed = false
    private val limits = LimitDriver(settings.vm, control, clock, holder, settings.shards, peers::stub)
    private lateinit var membership: Membership
    private lateinit var shardDriver: ShardDriver
    private lateinit var router: CallRouter
    private lateinit var callerServer: EmbeddedServer<*, *>
    private lateinit var operatorServer: EmbeddedServer<*, *>
    private lateinit var peerServer: Server

    /**
     * Starts all ports and returns the addresses in use.
     *
     * @throws PortTakenException when a port of the settings can't be opened.
     */
    suspend fun start(): VmIdentity {
        val host = settings.host
        peerServer = openPort("peerPort", host, settings.peerPort) {
            peerServer(host, settings.peerPort, PeerService(peerPort())).start()
        }
        callerServer = server(settings.callerPort) { callerModule(callerPort()) }
        operatorServer = server(settings.operatorPort) { operatorModule(operatorPort()) }
        val callerPort = openPort("callerPort", host, settings.callerPort) { callerServer.startAndGetPort() }
        val operatorPort = openPort("operatorPort", host, settings.operatorPort) { operatorServer.startAndGetPort() }
        val identity = VmIdentity(
            vm = settings.vm,
            zone = settings.zone,
            callerAddress = "$host:$callerPort",
            peerAddress = "${settings.host}:${peerServer.port}",
            operatorAddress = "$host:$operatorPort",
        )
        withContext(control) { startControl(identity) }
        log.event(
            "daemon_started",
            "vm" to settings.vm,
            "zone" to settings.zone,
            "caller" to identity.callerAddress,
            "operator" to identity.operatorAddress,
            "peer" to identity.peerAddress,
        )
        return identity
    }

    /**
     * Whether this VM can serve: its lease is valid and listed, its configuration is proved current and it is not
     * leaving.
     */
    suspend fun isReady(): Boolean = withContext(control) {
        val isMember = ::membership.isInitialized && membership.isLeaseValid() && settings.vm in membership.leases()
        isMember && holder.isProvedCurrent() && !isLeaving
    }

    /** Generation of the configuration in force here. */
    suspend fun generation(): Long = withContext(control) { holder.current.generation }

    /**
     * Planned stop: withdraws this VM from address answers, hands over its shards and waits for the calls in flight to
     * end. Callers that still use its address are redirected for the grace time of the settings. Calls that take longer
     * than [drainTimeout] are cut off.
     */
    suspend fun stop(drainTimeout: Duration = 60.seconds) {
        if (isClosed) return
        val startedAt = clock.now()
        withContext(control) {
            isLeaving = true
            membership.setLeaving(true)
        }
        val isDrained = withTimeoutOrNull(drainTimeout) {
            while (requests.count > 0 || !withContext(control) { shardDriver.ownsNoShards() }) delay(STOP_POLL_INTERVAL)
            true
        }
        val grace = settings.stopGraceMs.milliseconds - (clock.now() - startedAt)
        if (grace.isPositive()) delay(grace)
        log.event("daemon_stopped", "vm" to settings.vm, "drained" to (isDrained == true), "requests" to requests.count)
        // An answer counts as ended before the server has sent its last bytes.
        callerServer.stop(gracePeriodMillis = FLUSH_GRACE_MS, timeoutMillis = FLUSH_GRACE_MS + CLOSE_TIMEOUT_MS)
        close()
    }

    /** Stops at once, as in a crash: changes no lease and hands over no shard. */
    fun close() {
        if (isClosed) return
        isClosed = true
        scope.cancel()
        if (::callerServer.isInitialized) callerServer.stop(gracePeriodMillis = 0, timeoutMillis = CLOSE_TIMEOUT_MS)
        if (::operatorServer.isInitialized) operatorServer.stop(gracePeriodMillis = 0, timeoutMillis = CLOSE_TIMEOUT_MS)
        if (::peerServer.isInitialized) peerServer.shutdownNow()
        peers.close()
        client.close()
        control.close()
    }

    private fun startControl(identity: VmIdentity) {
        membership = Membership(identity, settings.membershipSettings(), clock, newNonce, incarnationSource)
        val membershipPeers = GrpcMembershipPeers(peers, settings.storeTimeoutMs.milliseconds)
        val driver = MembershipDriver(scope, store, membership, membershipPeers)
        shardDriver = ShardDriver(
            vm = settings.vm,
            scope = scope,
            store = store,
            membership = membership,
            membershipDriver = driver,
            clock = clock,
            journalSettings = settings.journalSettings(),
            shards = settings.shards,
            newNonce = newNonce,
        )
        val engines = EngineClient(client, clock)
        router = CallRouter(
            self = settings.vm,
            control = control,
            clock = clock,
            configuration = holder,
            membership = membership,
            shardDriver = shardDriver,
            models = ModelCalls(control, clock, holder, shardDriver, queue, engines),
            services = ServiceCalls(control, clock, holder, shardDriver, queue, ServiceClient(client)),
            forward = peers::forward,
            decisions = decisions,
        )
        driver.start()
        limits.start(scope, membership)
        shardDriver.start()
        startConfiguration(identity)
        queue.start(scope)
        EngineCacheCleaner(
            configuration = holder,
            shardDriver = shardDriver,
            engines = engines,
            interval = settings.engineCompareMs.milliseconds,
            idleTimeout = settings.programIdleMs.milliseconds,
        ).start(scope)
    }

    private fun startConfiguration(identity: VmIdentity) {
        val self = FleetMember(settings.vm, settings.zone, identity.peerAddress)
        val started = ConfigurationControl(
            self = self,
            settings = settings.syncSettings(),
            scope = scope,
            control = control,
            store = store,
            clock = clock,
            holder = holder,
            membership = membership,
            exchange = { peer, view -> peers.exchange(self, peer, view) },
            newNonce = newNonce,
            onChange = {
                queue.configurationChanged(it)
                keyGuard.configurationChanged(it)
                membership.setLeaving(isOutOfService())
            },
        )
        started.driver.start()
        configuration.complete(started)
    }

    private fun callerPort() = CallerPort(
        vm = settings.vm,
        zone = settings.zone,
        clock = clock,
        defaultDeadline = settings.callDeadlineMs.milliseconds,
        gate = AdmissionGate(control, clock, holder, limits, decisions),
        handle = { requests.counted(keyGuard.guard(it, router::handle)) },
        addresses = addresses::answer,
        isOutOfService = { withContext(control) { isOutOfService() } },
        decisions = decisions,
        onAnswered = { labels ->
            metrics.answered(labels)
            withContext(control) { counters.count(labels) }
        },
    )

    private fun operatorPort() = OperatorPort(
        publish = { configuration.await().publisher.publish(it) },
        status = { withContext(control) { status() } },
        configuration = { withContext(control) { holder.current } },
        isReady = { isReady() },
        objectives = { withContext(control) { counters.snapshot(settings.vm, settings.objectives()) } },
        explain = decisions::of,
        metrics = metrics::exposition,
    )

    private fun peerPort() = PeerPort(
        clock = clock,
        handle = { requests.counted(keyGuard.guard(it, router::handle)) },
        probe = { withContext(control) { probe() } },
        ownership = OwnershipPort(
            promise = { withContext(control) { ::membership.isInitialized && membership.promise(it) } },
            renew = { renewFor(store, it) },
            limits = limits,
        ),
        onAnnouncement = { request ->
            val driver = configuration.await().driver
            val view = withContext(control) { driver.answer(request.toMember(), request.toView()) }
            view.toMessage(FleetMember(settings.vm, settings.zone))
        },
        onCrashReport = { report ->
            val isQuarantined = withContext(control) { queue.recordCrash(report.endpoint, report.requestDigest) }
            CrashReply.newBuilder().setQuarantined(isQuarantined).build()
        },
    )

    private fun addressService() = AddressService(
        self = settings.vm,
        control = control,
        clock = clock,
        configuration = holder,
        membership = { membership },
        shardOwnerOf = { account, program ->
            membership.map.shards.getOrNull(shardDriver.shardOf(ProgramId(account, program)))?.vm
        },
        probe = peers::probe,
    )

    /** Whether this VM is leaving or out of service, so that callers must use another VM. */
    private fun isOutOfService(): Boolean = isLeaving || holder.current.serviceState.isOut(settings.vm, settings.zone)

    private fun probe(): ProbeReply = ProbeReply.newBuilder()
        .setVm(settings.vm)
        .setIncarnation(membership.incarnation)
        .setLeaving(isOutOfService() || !holder.isProvedCurrent())
        .setGeneration(holder.current.generation)
        .build()

    private fun status() = DaemonStatus(
        vm = settings.vm,
        zone = settings.zone,
        generation = holder.current.generation,
        proofAgeMs = holder.proofAge().takeIf { it.isFinite() }?.inWholeMilliseconds ?: -1,
        isLeaseValid = membership.isLeaseValid(),
        isLeaving = isLeaving,
        shards = membership.ownShards().count { membership.isServable(it) },
        programs = shardDriver.registry.size,
        segmentsWritten = shardDriver.journal.segmentWrites,
        peers = membership.leases().values.map {
            PeerStatus(it.identity.vm, it.identity.zone, it.identity.operatorAddress, it.isLeaving, it.isRevoked)
        },
    )

    private fun server(port: Int, module: Application.() -> Unit): EmbeddedServer<*, *> =
        embeddedServer(ServerCio, port = port, host = settings.host, module = module)

    private suspend fun EmbeddedServer<*, *>.startAndGetPort(): Int {
        startSuspend(wait = false)
        return engine.resolvedConnectors().first().port
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val STOP_POLL_INTERVAL = 50.milliseconds
        const val CLOSE_TIMEOUT_MS = 500L
        const val FLUSH_GRACE_MS = 1_000L
    }
}
