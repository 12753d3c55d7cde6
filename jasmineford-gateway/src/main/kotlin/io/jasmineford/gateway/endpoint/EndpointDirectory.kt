package io.jasmineford.gateway.endpoint

import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.gateway.measure.DecayingLevel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An endpoint as this daemon sees it; the counters are of this daemon's own calls. */
class EndpointState(endpoint: Endpoint, val clock: MonotonicClock) {
    /** The latest registration. */
    var endpoint: Endpoint = endpoint
        internal set

    /** Calls of this daemon that are at the endpoint now. */
    var inFlight: Int = 0

    /** Calls of the other daemons at the endpoint, as they last told. */
    var inFlightElsewhere: Int = 0

    /** Time up to which the endpoint bears only its cold rate. */
    var coldUntil: Duration = clock.now() + endpoint.coldForMillis.milliseconds
        internal set

    /** Time up to which no call is sent after failures; see [noteFailure]. */
    var avoidUntil: Duration = Duration.ZERO
        private set

    private val relativeTimes = DecayingLevel(clock, rest = 1.0, SLOWNESS_WEIGHT, OPINION_MEMORY)
    private val failureShare = DecayingLevel(clock, rest = 0.0, FAILURE_WEIGHT, OPINION_MEMORY)

    /** Smoothed time of its answers relative to what the call's route takes elsewhere; 1 is usual. */
    val slowness: Double get() = relativeTimes.value

    /** Smoothed part of its calls that fail, 0 to 1; an endpoint whose health checks are good may fail many. */
    val failureRate: Double get() = failureShare.value

    /** Calls sent while cold in the current second. */
    internal val coldMeter = ColdMeter()
    private var failures = 0

    /** Calls at the endpoint over its slots, all daemons together. */
    val load: Double get() = (inFlight + inFlightElsewhere).toDouble() / endpoint.slots.coerceAtLeast(1)

    /** Avoids the endpoint for a time that doubles with each failure in a row. */
    fun noteFailure() {
        failures = (failures + 1).coerceAtMost(MAX_FAILURES)
        avoidUntil = clock.now() + AVOID_STEP * (1 shl failures)
        failureShare.note(1.0)
    }

    /** Ends the avoidance and takes the answer's time, relative to its kind, into [slowness]. */
    fun noteSuccess(relativeTime: Double) {
        failures = 0
        avoidUntil = Duration.ZERO
        failureShare.note(0.0)
        relativeTimes.note(relativeTime.coerceIn(MIN_RELATIVE, MAX_RELATIVE))
    }

    private companion object {
        /** Base of the avoidance after a failure: doubled at once, so the first is a tenth of a second. */
        val AVOID_STEP = 50.milliseconds

        /** Bounds the avoidance to 3.2 s, about the time in which a crashed endpoint is back. */
        const val MAX_FAILURES = 6

        /** Weight of the newest answer: about ten answers decide. */
        const val SLOWNESS_WEIGHT = 0.1

        /** Weight of the newest outcome: a few failures show, single ones pass. */
        const val FAILURE_WEIGHT = 0.15

        /** Time in which an opinion fades without calls: endpoints are slow or fail for some seconds. */
        val OPINION_MEMORY = 3.seconds

        /** Limits of one answer's influence. */
        const val MIN_RELATIVE = 0.2
        const val MAX_RELATIVE = 8.0
    }
}

/** Counts calls to a cold endpoint in one-second windows that slide by the oldest call. */
internal class ColdMeter {
    private val sent = ArrayDeque<Duration>()

    /** Counts a call at [now] and returns true, unless [limit] calls lie within the last second. */
    fun tryTake(now: Duration, limit: Int): Boolean {
        while (sent.isNotEmpty() && now - sent.first() >= WINDOW) sent.removeFirst()
        val fits = sent.size < limit
        if (fits) sent.addLast(now)
        return fits
    }

    private companion object {
        /** A little over the second in which the platform counts, for unequal delays on the way. */
        val WINDOW = 1.1.seconds
    }
}

/** Endpoints by service, with what operators and the endpoints themselves exclude from new calls. */
class EndpointDirectory(private val clock: MonotonicClock) {
    private val states = HashMap<String, EndpointState>()
    private var evacuated: Set<String> = emptySet()
    private var byService: Map<String, List<EndpointState>> = emptyMap()

    /** All registered endpoints. */
    val all: Collection<EndpointState> get() = states.values

    /** Replaces the registrations; states of endpoints that remain are kept. */
    fun replace(endpoints: Collection<Endpoint>) {
        val present = endpoints.associateBy { it.id }
        states.keys.retainAll(present.keys)
        present.values.forEach(::register)
        byService = states.values.groupBy { it.endpoint.service }
    }

    private fun register(endpoint: Endpoint) {
        val known = states[endpoint.id]
        when {
            known == null || known.endpoint.startedAtMillis != endpoint.startedAtMillis ||
                known.endpoint.address != endpoint.address -> states[endpoint.id] = EndpointState(endpoint, clock)
            known.endpoint != endpoint -> {
                known.endpoint = endpoint
                known.coldUntil = clock.now() + endpoint.coldForMillis.milliseconds
            }
        }
    }

    /** Sets the zones whose endpoints get no new calls. */
    fun evacuate(zones: Set<String>) {
        evacuated = zones
    }

    /** Endpoints of [service] that may get new calls. */
    fun usable(service: String): List<EndpointState> =
        byService[service].orEmpty().filter { !it.endpoint.isDraining && it.endpoint.zone !in evacuated }

    /** Whether [state] may still get a call that was placed there before. */
    fun isUsable(state: EndpointState): Boolean =
        states[state.endpoint.id] === state && !state.endpoint.isDraining && state.endpoint.zone !in evacuated
}
