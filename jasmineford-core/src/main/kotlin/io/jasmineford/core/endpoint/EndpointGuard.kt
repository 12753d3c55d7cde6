package io.jasmineford.core.endpoint

import io.jasmineford.core.config.Endpoint
import io.jasmineford.core.time.MonotonicClock
import kotlin.random.Random
import kotlin.time.Duration

/** Where a request may run. */
sealed interface GuardVerdict {
    /** Anywhere but at the endpoints named in [excluded]. */
    data class Run(val excluded: Set<String> = emptySet()) : GuardVerdict

    /** It crashed endpoints twice. */
    data object Quarantined : GuardVerdict

    /** It is a suspect, and every endpoint is the last healthy one or runs another suspect. */
    data object NoEndpoint : GuardVerdict
}

/** An attempt that failed, and what its caller does next. */
sealed interface FailureVerdict {
    /** Try again after [wait]. */
    data class Retry(val wait: Duration) : FailureVerdict

    /** Answer with the failure. */
    data object GiveUp : FailureVerdict
}

/** Health of endpoints, crash suspects and the retry budget of one VM. */
class EndpointGuard(
    private val clock: MonotonicClock,
    private val random: Random,
    private val health: HealthSettings = HealthSettings(),
    retry: RetrySettings = RetrySettings(),
    suspects: SuspectSettings = SuspectSettings(),
) {
    /** Requests that may have caused crashes; shared with all VMs. */
    val suspects = CrashSuspects(suspects)
    private val retries = RetryPolicy(retry, random)
    private val byAddress = HashMap<String, EndpointHealth>()
    private val attempts = HashMap<Long, Attempt>()

    /** Most calls that the endpoint's health allows in flight. */
    fun limit(endpoint: Endpoint): Int = healthOf(endpoint.address).limit(clock.now())

    /** Where the request with [digest] may run among [endpoints], all endpoints of its deployment that are in service. */
    fun verdict(digest: String, endpoints: List<Endpoint>): GuardVerdict = when (suspects.verdict(digest, clock.now())) {
        SuspectVerdict.Clear -> GuardVerdict.Run()
        SuspectVerdict.Quarantined -> GuardVerdict.Quarantined
        SuspectVerdict.Suspect -> placeSuspect(endpoints)
    }

    /** Counts a call's first attempt for the retry budget. */
    fun submitted() = retries.firstAttempt()

    /** Takes the dispatch of call [id] with the request [digest]. */
    fun started(id: Long, digest: String, endpoint: Endpoint) {
        attempts[id] = Attempt(digest, endpoint, isSuspect = suspects.verdict(digest, clock.now()) != SuspectVerdict.Clear)
    }

    /** Takes a whole answer to call [id]. */
    fun succeeded(id: Long) {
        val attempt = attempts.remove(id) ?: return
        healthOf(attempt.endpoint.address).succeeded()
        suspects.completed(attempt.digest)
    }

    /** Takes the end of call [id] without a verdict on its endpoint, such as a caller that hung up. */
    fun abandoned(id: Long) {
        attempts.remove(id)
    }

    /**
     * Takes the failure of call [id], and tells other VMs through [report] when its endpoint may have crashed.
     *
     * @param tried attempts so far.
     */
    fun failed(
        id: Long,
        failure: FailureKind,
        call: FailedCall,
        report: (endpoint: Endpoint, digest: String) -> Unit = { _, _ -> },
    ): FailureVerdict {
        val attempt = attempts.remove(id) ?: return FailureVerdict.GiveUp
        val now = clock.now()
        healthOf(attempt.endpoint.address).failed(now)
        if (failure == FailureKind.MAY_HAVE_RUN && call.isCrash) {
            report(attempt.endpoint, attempt.digest)
            if (suspects.crashed(attempt.endpoint.address, attempt.digest, now)) return FailureVerdict.GiveUp
        }
        val wait = retries.retryAfter(call.attempts, failure, call.isIdempotent, call.deadline - now)
        return if (wait == null) FailureVerdict.GiveUp else FailureVerdict.Retry(wait)
    }

    private fun placeSuspect(endpoints: List<Endpoint>): GuardVerdict {
        val healthy = endpoints.filter { healthOf(it.address).isHealthy }
        val withSuspect = attempts.values.filter { it.isSuspect }.map { it.endpoint.name }.toSet()
        val last = healthy.singleOrNull()?.name
        val excluded = withSuspect + setOfNotNull(last)
        return if (endpoints.all { it.name in excluded }) GuardVerdict.NoEndpoint else GuardVerdict.Run(excluded)
    }

    private fun healthOf(address: String) = byAddress.getOrPut(address) { EndpointHealth(health, random) }

    private class Attempt(val digest: String, val endpoint: Endpoint, val isSuspect: Boolean)
}

/**
 * What decides over a failed call.
 *
 * @property attempts attempts so far.
 * @property isCrash whether the connection broke, so that the endpoint may have crashed; false for a deadline.
 */
data class FailedCall(
    val attempts: Int,
    val isIdempotent: Boolean,
    val deadline: Duration,
    val isCrash: Boolean = true,
)
