package io.jasmineford.gateway.rollout

import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.daemon.VirtualFleet
import io.jasmineford.gateway.endpoint
import io.jasmineford.gateway.endpoint.Endpoint
import io.jasmineford.gateway.endpoint.EndpointChooser
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.endpoint.PlacementRequest
import io.jasmineford.gateway.log.EventLog
import io.jasmineford.gateway.store.MirrorContext
import io.jasmineford.gateway.store.ObjectKind
import io.jasmineford.gateway.store.ObjectMirror
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A call at an endpoint: what decides how it ends. */
internal class ModelCall(
    val endpoint: String,
    val isNew: Boolean,
    val route: String,
    val at: Duration,
    val load: Double,
    val random: Random,
)

/** How a call ends. */
internal class ModelEnd(val time: Duration, val result: AttemptResult = AttemptResult.SUCCESS)

/** Call that an endpoint got. */
internal class SentCall(val at: Duration, val endedAt: Duration, val isNew: Boolean, val isBad: Boolean)

/** Entry daemons, endpoints of two versions, callers and a store in virtual time. */
internal class RolloutFleetModel(
    seed: Int,
    size: Int = 6,
    private val endpoints: Int = 6,
    private val callsPerSecond: Double = 40.0,
    private val behaviour: (ModelCall) -> ModelEnd,
) {
    private val random = Random(seed)
    val fleet = VirtualFleet(size, random = random)
    val store = FakeRolloutStore(fleet.scheduler, random)
    val clock get() = fleet.clock
    val daemons = fleet.daemons.map { Daemon(it) }.toMutableList()
    val calls = ArrayList<SentCall>()
    var rate = 1.0
    private val lost = HashSet<String>()
    private val ordersAt = ArrayList<Duration>()

    init {
        registerEndpoints()
        repeatEvery(50.milliseconds) { daemons.forEach { it.tick() } }
        arrive()
    }

    /** Decisions as `EVENT PHASE REASON`, of all daemons. */
    val decisions = ArrayList<String>()

    fun run(time: Duration) = fleet.run(time)

    fun order(seconds: Int, to: String = NEW) {
        ordersAt.add(clock.now())
        store.order(SERVICE, to, seconds)
    }

    /** Ends the endpoints of the old version, or of the new one. */
    fun lose(isNew: Boolean) {
        lost += if (isNew) NEW else OLD
        registerEndpoints()
    }

    private fun registerEndpoints() {
        val all = listOf(OLD, NEW).filter { it !in lost }
            .flatMap { version -> List(endpoints) { endpoint("$version-$it", slots = SLOTS).copy(version = version) } }
        daemons.forEach { it.replaceEndpoints(all) }
    }

    fun restart(daemon: Daemon) {
        val next = Daemon(fleet.restart(daemon.entry))
        daemons[daemons.indexOf(daemon)] = next
        registerEndpoints()
    }

    /** Calls that reached the service since the latest order. */
    val callsSinceOrder get() = calls.filter { it.at >= ordersAt.last() }
    val newCalls get() = callsSinceOrder.filter { it.isNew }

    fun inFlightAtOld() = calls.count { !it.isNew && it.endedAt > clock.now() }

    /** Calls to the new version after `rollbackTime` from the 50th bad response. */
    fun lateCalls(): Int {
        val fiftieth = newCalls.filter { it.isBad }.map { it.endedAt }.sorted().getOrNull(BAD_LIMIT - 1) ?: return 0
        return newCalls.count { it.at > fiftieth + BOUNDS.rollbackTime }
    }

    private fun repeatEvery(period: Duration, action: () -> Unit) {
        fleet.scheduler.after(period) {
            action()
            repeatEvery(period, action)
        }
    }

    private fun arrive() {
        val gap = (2 * random.nextDouble() / (callsPerSecond * rate)).seconds
        fleet.scheduler.after(gap) {
            val route = if (random.nextDouble() < 0.7) "chat" else "tools"
            daemons.filter { it.isServing }.randomOrNull(random)?.submit(route, "call-${random.nextInt()}")
            arrive()
        }
    }

    inner class Daemon(val entry: VirtualFleet.VirtualEntry) {
        private val gate = VersionGate(clock, BOUNDS) { key, total ->
            val selection = entry.exchange.selection
            val rest = if (selection.rankFor(key) < total % selection.entryCount) 1 else 0
            total / selection.entryCount + rest
        }
        val client = store.Client()
        var isServing = true
            private set
        private val mirror: ObjectMirror = ObjectMirror(
            kind = ObjectKind.ROLLOUT,
            context = MirrorContext(client, clock, fleet.scheduler, EventLog { _, _ -> }),
            watchWait = 15.seconds,
        ) { objects ->
            latest = objects.map { StoredOrder(it.revision, TestFormat.decode(it)) }
            if (isServing) control.applyOrders(latest)
        }
        private var latest: List<StoredOrder> = emptyList()
        val control: RolloutControl = RolloutControl(
            clock = clock,
            gate = gate,
            directory = entry.state.directory,
            fleet = RolloutFleet(
                self = entry.member,
                peers = { entry.table },
                exchange = { entry.exchange },
                contactAge = { entry.contact.age() },
                storeOutage = { mirror.outageDuration() },
            ),
            effects = RolloutEffects(
                write = { service, status, revision, onReply ->
                    client.replaceStatus(ObjectKind.ROLLOUT, service, TestFormat.status(status), revision, onReply)
                },
                read = { mirror.probe() },
                announce = { entry.sendAll() },
            ),
            eventLog = EventLog { name, fields ->
                val shown = fields.toMap()
                decisions += "${clock.now()} ${entry.member.name} $name $shown"
            },
        )
        private val chooser = EndpointChooser(
            directory = entry.state.directory,
            zone = "a",
            clock = clock,
            versions = gate,
            partOf = entry.state::ratePart,
        )

        init {
            entry.extend = { heartbeat, peer -> control.addTo(heartbeat, peer) }
            entry.onApplied = { control.onHeartbeat(it) }
            mirror.start()
        }

        val rollout get() = gate.rollouts[SERVICE]

        fun replaceEndpoints(all: List<Endpoint>) = entry.state.directory.replace(all)

        fun tick() {
            if (!isServing) return
            if (client.isReachable && store.isUp) entry.contact.confirm(clock.now())
            entry.state.countInFlight()
            control.tick()
        }

        /** Ends the process: it sends and receives nothing, and its calls in flight are lost. */
        fun kill() {
            isServing = false
            fleet.cutOff(listOf(entry))
            client.isReachable = false
        }

        /** Suspends the process: it does nothing and hears nothing until [resume]. */
        fun freeze() {
            isServing = false
            fleet.cutOff(listOf(entry))
        }

        fun resume() {
            isServing = true
            fleet.heal()
            control.applyOrders(latest)
        }

        fun restart() {
            kill()
            restart(this)
        }

        fun submit(route: String, key: String, until: Duration = clock.now() + 2.seconds) {
            val request = PlacementRequest(Service(SERVICE), affinity = null, route = route, callKey = key)
            val state = chooser.choose(request)
            when {
                state != null -> send(state, route)
                clock.now() < until -> fleet.scheduler.after(20.milliseconds) {
                    if (isServing) submit(route, key, until)
                }
            }
        }

        private fun send(state: EndpointState, route: String) {
            val isNew = state.endpoint.version == NEW
            val load = daemons.sumOf { daemon ->
                daemon.entry.state.directory.all.filter { it.endpoint.id == state.endpoint.id }.sumOf { it.inFlight }
            }.toDouble() / SLOTS
            state.inFlight++
            val at = clock.now() - (ordersAt.lastOrNull() ?: Duration.ZERO)
            val end = behaviour(ModelCall(state.endpoint.id, isNew, route, at, load, random))
            val isBad = end.result == AttemptResult.FAILURE || end.result == AttemptResult.BROKEN
            calls += SentCall(clock.now(), clock.now() + end.time, isNew, isBad)
            fleet.scheduler.after(end.time) {
                state.inFlight--
                if (end.result == AttemptResult.SUCCESS) state.recordSuccess(1.0) else state.recordFailure()
                gate.recordEnd(state, route, end.result, end.time)
            }
        }
    }

    companion object {
        const val SERVICE = "models"
        const val OLD = "v1"
        const val NEW = "v2"
        const val SLOTS = 8
        const val BAD_LIMIT = 50
        val BOUNDS = RolloutBounds(exposureShare = 0.1, exposureSlack = 50.0, rollbackTime = 5.seconds)
    }
}
