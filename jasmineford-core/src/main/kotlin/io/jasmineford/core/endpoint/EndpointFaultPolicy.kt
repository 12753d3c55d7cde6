package io.jasmineford.core.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration

/** Endpoints on which a request may run. */
sealed interface RequestVerdict {
    /** All except those named in [excluded]. */
    data class Run(val excluded: Set<String> = emptySet()) : RequestVerdict

    /** None: the request was in flight at two crashes. */
    data object Quarantined : RequestVerdict

    /** None for now: the request is a suspect, and every endpoint is the last healthy one or runs another suspect. */
    data object NoEndpoint : RequestVerdict
}

/** How to proceed after a failed attempt. */
sealed interface FailureVerdict {
    /** Try again after [wait]. */
    data class Retry(val wait: Duration) : FailureVerdict

    /** Return the failure to the caller. */
    data object GiveUp : FailureVerdict
}

/** Fault handling for endpoint calls of one VM: circuit breakers, crash suspects and retries. */
class EndpointFaultPolicy(
    private val clock: MonotonicClock,
    private val random: Random,
    private val breakerSettings: CircuitBreakerSettings = CircuitBreakerSettings(),
    retry: RetrySettings = RetrySettings(),
    suspects: SuspectSettings = SuspectSettings(),
) {
    /** Requests that may have caused crashes; VMs exchange them. */
    val suspects = CrashSuspects(suspects)
    private val retries = RetryPolicy(retry, random)
    private val breakers = HashMap<String, CircuitBreaker>()
    private val attempts = HashMap<Long, Attempt>()

    /** Highest number of calls in flight that the endpoint's circuit breaker allows now. */
    fun limit(endpoint: Endpoint): Int = breakerOf(endpoint.address).allowedCalls(clock.now())

    /** Where the request with [digest] may run among [endpoints], the endpoints in service of its deployment. */
    fun verdict(digest: String, endpoints: List<Endpoint>): RequestVerdict =
        when (suspects.verdict(digest, clock.now())) {
            SuspectVerdict.Clear -> RequestVerdict.Run()
            SuspectVerdict.Quarantined -> RequestVerdict.Quarantined
            SuspectVerdict.Suspect -> suspectVerdict(endpoints)
        }

    /** Counts the first attempt of a call, which adds to the retry budget. */
    fun submitted() = retries.firstAttempt()

    /** Records the dispatch of call [id] with request [digest]. */
    fun started(id: Long, digest: String, endpoint: Endpoint) {
        val now = clock.now()
        attempts[id] = Attempt(digest, endpoint, suspects.verdict(digest, now) != SuspectVerdict.Clear, now)
    }

    /** Records a complete answer to call [id]. */
    fun succeeded(id: Long) {
        val attempt = attempts.remove(id) ?: return
        breakerOf(attempt.endpoint.address).succeeded()
        suspects.completed(attempt.digest)
    }

    /** Records the end of call [id] for a reason unrelated to its endpoint, such as a disconnected caller. */
    fun abandoned(id: Long) {
        attempts.remove(id)
    }

    /**
     * Records the failure of call [id]. Calls [report], to inform other VMs, when its endpoint may have crashed.
     */
    fun failed(
        id: Long,
        failure: FailureKind,
        call: FailedCall,
        report: (endpoint: Endpoint, digest: String) -> Unit = { _, _ -> },
    ): FailureVerdict {
        val attempt = attempts.remove(id) ?: return FailureVerdict.GiveUp
        val now = clock.now()
        breakerOf(attempt.endpoint.address).failed(now)
        if (failure == FailureKind.MAY_HAVE_RUN && call.isCrash) {
            report(attempt.endpoint, attempt.digest)
            if (suspects.crashed(attempt.endpoint.address, attempt.digest, now, attempt.startedAt)) return FailureVerdict.GiveUp
        }
        val wait = retries.retryAfter(call.attempts, failure, call.isIdempotent, call.deadline - now)
        return if (wait == null) FailureVerdict.GiveUp else FailureVerdict.Retry(wait)
    }

    private fun suspectVerdict(endpoints: List<Endpoint>): RequestVerdict {
        val healthy = endpoints.filter { breakerOf(it.address).isClosed }
        val withSuspect = attempts.values.filter { it.isSuspect }.map { it.endpoint.name }.toSet()
        val last = healthy.singleOrNull()?.name
        val excluded = withSuspect + setOfNotNull(last)
        return if (endpoints.all { it.name in excluded }) RequestVerdict.NoEndpoint else RequestVerdict.Run(excluded)
    }

    private fun breakerOf(address: String) = breakers.getOrPut(address) { CircuitBreaker(breakerSettings, random) }

    private class Attempt(val digest: String, val endpoint: Endpoint, val isSuspect: Boolean, val startedAt: Duration)
}

/**
 * Properties of a failed call that determine whether it is retried.
 *
 * @property attempts attempts so far.
 * @property deadline time on this VM's monotonic clock.
 * @property isCrash whether the connection broke, so that the endpoint may have crashed; false for a timeout.
 */
data class FailedCall(
    val attempts: Int,
    val isIdempotent: Boolean,
    val deadline: Duration,
    val isCrash: Boolean = true,
)
