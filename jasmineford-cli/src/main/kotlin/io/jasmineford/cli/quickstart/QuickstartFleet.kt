package io.jasmineford.cli.quickstart

import io.jasmineford.core.lease.VmIdentity
import io.jasmineford.daemon.EntryDaemon
import io.jasmineford.daemon.settings.EntrySettings
import io.jasmineford.standin.engine.EngineServer
import io.jasmineford.standin.platform.PlatformServer
import io.jasmineford.standin.service.ServiceServer
import io.jasmineford.store.HttpObjectStore

/** A running entry daemon with its identity and addresses. */
internal class RunningDaemon(
    val daemon: EntryDaemon,
    val identity: VmIdentity,
    private val store: HttpObjectStore,
) {
    /** Stops the daemon immediately and without a planned stop, to simulate a crash. */
    fun kill() {
        daemon.close()
        store.close()
    }
}

/** Stand-ins and three entry daemons on loopback, all in this process. */
internal class QuickstartFleet : AutoCloseable {
    private val platform = PlatformServer()
    private val running = mutableListOf<RunningDaemon>()

    val engines = listOf(EngineServer("engine-a"), EngineServer("engine-b"))
    val service = ServiceServer()

    /** Ports of the two engines, then of the service. */
    lateinit var endpointPorts: List<Int>
        private set

    /** Daemons that have not been killed. */
    val daemons: List<RunningDaemon> get() = running.toList()

    /** Starts the stand-ins, then the daemons. */
    suspend fun start() {
        val platformPort = platform.start()
        endpointPorts = engines.map { it.start() } + service.start()
        for (zone in ZONES) running += startDaemon(zone, platformPort)
    }

    /** Kills [daemon] and removes it from [daemons]. */
    fun kill(daemon: RunningDaemon) {
        daemon.kill()
        running -= daemon
    }

    override fun close() {
        running.toList().forEach(::kill)
        engines.forEach { it.close() }
        service.close()
        platform.close()
    }

    private suspend fun startDaemon(zone: String, platformPort: Int): RunningDaemon {
        val settings = EntrySettings(
            vm = "$zone-1",
            zone = zone,
            platformUrl = "http://127.0.0.1:$platformPort",
            leaseTimeToLiveMs = LEASE_MS,
            leaseRenewEveryMs = LEASE_MS / RENEWALS_PER_LEASE,
            leaseMarginMs = LEASE_MS / RENEWALS_PER_LEASE,
            leaseListEveryMs = LEASE_MS / LISTS_PER_LEASE,
        )
        val store = HttpObjectStore(settings.platformUrl)
        val daemon = EntryDaemon(settings, store)
        return RunningDaemon(daemon, daemon.start(), store)
    }

    private companion object {
        val ZONES = listOf("be-wal-a", "be-wal-b", "be-wal-c")
        const val LEASE_MS = 1_500L
        const val RENEWALS_PER_LEASE = 3
        const val LISTS_PER_LEASE = 10
    }
}
