package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.cost.EndpointWork
import io.jasmineford.gateway.measure.DecayingAverage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** State of an endpoint as observed by this daemon: load, warm-up, failures and response times of its own calls. */
class EndpointState(endpoint: Endpoint, val clock: MonotonicClock) {
    /** The latest registration. */
    var endpoint: Endpoint = endpoint
        internal set

    /** Number of this daemon's calls in flight at the endpoint. */
    var inFlight: Int = 0

    /** Number of the other daemons' calls in flight at the endpoint, by their latest heartbeats. */
    var inFlightAtPeers: Int = 0

    /** End of the warm-up, until which calls to the endpoint are limited to its service's cold rate. */
    var coldUntil: Duration = clock.now() + endpoint.coldForMillis.milliseconds
        internal set

    /** Rate that the endpoint names in its responses. */
    val namedRate = NamedRate(endpoint.id, clock)

    /** Whether a response of the endpoint said that it is leaving. It gets no further calls, whatever is registered. */
    var isLeaving: Boolean = false
        internal set

    /** End of the back-off after failures; until then other endpoints are preferred. See [recordFailure]. */
    var backoffUntil: Duration = Duration.ZERO
        private set

    private val relativeTimes = DecayingAverage(clock, baseline = 1.0, SLOWNESS_WEIGHT, DECAY_TIME)
    private val decayingFailureRate = DecayingAverage(clock, baseline = 0.0, FAILURE_WEIGHT, DECAY_TIME)

    /** Smoothed response time relative to the mean of the call's route over all endpoints; 1 is average. */
    val slowness: Double get() = relativeTimes.value

    /** Smoothed fraction of calls that fail, 0 to 1. Endpoints that pass health checks may still fail many calls. */
    val failureRate: Double get() = decayingFailureRate.value

    /** Work of the calls in flight, learned speed and cached prompts. */
    val work = EndpointWork(clock)

    /** Limits this daemon's calls to its part of [rates]. */
    internal val rateLimiter = SharedRateLimiter(clock)
    private var failures = 0

    /** Calls in flight from all daemons, as a fraction of the slots. */
    val load: Double get() = (inFlight + inFlightAtPeers).toDouble() / endpoint.slots.coerceAtLeast(1)

    /** Whether a rate may be in force at the endpoint. */
    val mayBeLimited: Boolean get() = coldUntil > clock.now() || namedRate.perSecond != null

    /** Rates in force at the endpoint of [service]: the cold rate while it warms up, and the one that it names. */
    fun rates(service: Service): List<EndpointRate> {
        val cold = service.coldRate.takeIf { it > 0 && coldUntil > clock.now() }?.let { EndpointRate(it, COLD_BURST) }
        return listOfNotNull(cold, namedRate.perSecond?.let { EndpointRate(it, NAMED_BURST, namedRate.isStale) })
    }

    /** Records a failed call: starts a back-off that doubles with each consecutive failure. */
    fun recordFailure() {
        failures = (failures + 1).coerceAtMost(MAX_FAILURES)
        backoffUntil = clock.now() + BACKOFF_BASE * (1 shl failures)
        decayingFailureRate.add(1.0)
    }

    /** Records a successful call: ends the back-off and adds [relativeTime] to [slowness]. */
    fun recordSuccess(relativeTime: Double) {
        failures = 0
        backoffUntil = Duration.ZERO
        decayingFailureRate.add(0.0)
        relativeTimes.add(relativeTime.coerceIn(MIN_RELATIVE_TIME, MAX_RELATIVE_TIME))
    }

    private companion object {
        /** The platform tolerates half a second's calls beyond the cold rate; the rest is for uneven delays. */
        val COLD_BURST = 250.milliseconds

        /** The platform tolerates two seconds' calls beyond a named rate; the rest is for calls that move. */
        val NAMED_BURST = 1.seconds

        /** Base of the exponential back-off; the first failure doubles it, to 0.1 s. */
        val BACKOFF_BASE = 50.milliseconds

        /** Limits the back-off to 3.2 s, about the time that a crashed endpoint takes to restart. */
        const val MAX_FAILURES = 6

        /** Weight of the newest sample: about ten responses determine the slowness. */
        const val SLOWNESS_WEIGHT = 0.1

        /** Weight of the newest outcome: a few failures have an effect, a single one has little. */
        const val FAILURE_WEIGHT = 0.15

        /** Time constant of the decay without calls; endpoints are slow or fail for some seconds at a time. */
        val DECAY_TIME = 3.seconds

        /** Bounds of one sample, which limit the influence of outliers. */
        const val MIN_RELATIVE_TIME = 0.2
        const val MAX_RELATIVE_TIME = 8.0
    }
}

/** Software versions of the registered endpoints of a service. */
enum class VersionMix {
    /** All have the same version, and have had for longer than a stream lasts. */
    SINGLE,

    /** All have the same version, but that may be new. */
    RECENTLY_MIXED,

    /** There are several versions. */
    MIXED,
}

/** Registered endpoints by service, less those that are draining, leaving or in an evacuated availability zone. */
class EndpointDirectory(private val clock: MonotonicClock) {
    private val states = HashMap<String, EndpointState>()
    private var evacuated: Set<String> = emptySet()
    private var byService: Map<String, List<EndpointState>> = emptyMap()
    private val startedAt = clock.now()
    private val mixedAt = HashMap<String, Duration>()
    private val leaving = LeavingEndpoints()

    /** The registered endpoints by id. */
    val byId: Map<String, EndpointState> get() = states

    /** All registered endpoints. */
    val all: Collection<EndpointState> get() = states.values

    /** Replaces the registrations; the states of endpoints that remain registered are kept. */
    fun replace(endpoints: Collection<Endpoint>) {
        val present = endpoints.associateBy { it.id }
        states.keys.retainAll(present.keys)
        present.values.forEach(::register)
        byService.filterValues { it.hasSeveralVersions() }.keys.forEach { mixedAt[it] = clock.now() }
        byService = states.values.groupBy { it.endpoint.service }
    }

    /** Which software versions the endpoints of [service] have, those included that get no new calls. */
    fun versionMix(service: String): VersionMix = when {
        byService[service].orEmpty().hasSeveralVersions() -> VersionMix.MIXED
        clock.now() - (mixedAt[service] ?: startedAt) < STREAM_TIME -> VersionMix.RECENTLY_MIXED
        else -> VersionMix.SINGLE
    }

    private fun register(endpoint: Endpoint) {
        val known = states[endpoint.id]?.takeIf {
            it.endpoint.startedAtMillis == endpoint.startedAtMillis && it.endpoint.address == endpoint.address
        }
        when {
            known == null ->
                states[endpoint.id] = EndpointState(endpoint, clock).also { it.isLeaving = endpoint in leaving }
            known.endpoint != endpoint -> {
                known.endpoint = endpoint
                known.coldUntil = clock.now() + endpoint.coldForMillis.milliseconds
            }
        }
    }

    /** Records that a response of [state] said that the endpoint is leaving; returns whether that was not known. */
    fun recordLeaving(state: EndpointState): Boolean {
        val endpoint = state.endpoint
        // The registration may have lapsed and come back while the call was in flight.
        val registered = states[endpoint.id]?.takeIf { it.endpoint.isSameProcessAs(endpoint) }
        listOfNotNull(state, registered).forEach { it.isLeaving = true }
        return leaving.add(endpoint)
    }

    /** Applies [reports] of other daemons and returns the endpoints at which another rate is in force now. */
    fun applyRates(reports: List<RateReport>): List<EndpointState> = reports.mapNotNull { report ->
        states[report.endpoint]?.takeIf { it.namedRate.merge(report) }
    }

    /** The most recent observations of named rates that are younger than [age], at most [count] of them. */
    fun recentRates(age: Duration, count: Int): List<RateReport> {
        val since = clock.now() - age
        // Runs for each heartbeat over all endpoints, of which few name a rate.
        val recent = ArrayList<NamedRate>()
        states.values.forEach { if (it.namedRate.updatedAt > since) recent.add(it.namedRate) }
        if (recent.isEmpty()) return emptyList()
        return recent.sortedByDescending { it.updatedAt }.take(count).map { it.report() }
    }

    /** Sets the availability zones whose endpoints get no new calls. */
    fun evacuate(zones: Set<String>) {
        evacuated = zones
    }

    /** Endpoints of [service] that may get new calls. */
    fun usable(service: String): List<EndpointState> =
        byService[service].orEmpty().filter(::isUsable)

    /** Whether none of the registered endpoints of [service] may get new calls, because the last ones are leaving. */
    fun isAbandoned(service: String): Boolean =
        usable(service).isEmpty() && byService[service].orEmpty().any { it.isLeaving }

    /** Whether a call that was assigned to [state] may still be sent there. */
    fun isUsable(state: EndpointState): Boolean =
        states[state.endpoint.id] === state && !state.endpoint.isDraining && !state.isLeaving &&
            state.endpoint.zone !in evacuated

    private companion object {
        /** Longer than a stream and its caller's attempts to take it up again last. */
        val STREAM_TIME = 6.seconds
    }
}

private fun List<EndpointState>.hasSeveralVersions(): Boolean = distinctBy { it.endpoint.version }.size > 1
