package io.jasmineford.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.jasmineford.core.call.Reason
import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ConfigurationHolder
import io.jasmineford.core.config.ScopedName
import io.jasmineford.core.config.route
import io.jasmineford.core.key.KeyDigest
import io.jasmineford.core.key.digestOfKey
import io.jasmineford.core.limit.AccountLimiter
import io.jasmineford.core.limit.Admission
import io.jasmineford.core.objective.DecisionLog
import io.jasmineford.core.objective.DecisionStep.ANSWERED
import io.jasmineford.core.objective.DecisionStep.ARRIVED
import io.jasmineford.core.program.ProgramId
import io.jasmineford.core.time.MonotonicClock
import io.jasmineford.daemon.limit.OPEN_ROUTE_PREFIX
import io.jasmineford.daemon.limit.rateOf
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlin.time.Duration

/**
 * Account that a request runs for.
 *
 * @property keyDigest null on open routes.
 * @property generation generation of the configuration that assigns the key to the account.
 */
internal data class Caller(
    val account: ScopedName,
    val keyDigest: KeyDigest?,
    val generation: Long,
)

/** Admits requests by the caller's key and the rate of its account. */
internal class AdmissionGate(
    private val control: CoroutineDispatcher,
    private val clock: MonotonicClock,
    private val configuration: ConfigurationHolder,
    private val limiter: AccountLimiter,
    private val decisions: DecisionLog,
) {
    /**
     * Looks up the account of [key] and waits until the account's rate admits the request. Refuses when the key is not
     * valid or the rate would admit the request only after [deadline].
     */
    suspend fun admit(
        key: String?,
        openRoute: ScopedName?,
        deadline: Duration,
        program: String?,
    ): Result<Caller, Refusal> {
        val arrivedAt = clock.now()
        while (true) {
            // The key is checked again after each wait, since it may have been withdrawn in the meantime.
            val identified = withContext(control) { identify(key, openRoute) }
            val caller = identified.get() ?: return identified
            val admission = withContext(control) { limiter.admit(caller.account, configuration.current.rateOf(caller.account)) }
            when (admission) {
                Admission.Admitted -> {
                    val waited = (clock.now() - arrivedAt).inWholeMilliseconds
                    decisions.record(program?.let { ProgramId(caller.account, it) }, ARRIVED, "admitted by the account's rate", waited)
                    return Ok(caller)
                }

                is Admission.Wait -> if (clock.now() + admission.delay > deadline) {
                    val refusal = exceeded(admission)
                    decisions.record(program?.let { ProgramId(caller.account, it) }, ANSWERED, "refused: ${refusal.detail}")
                    return Err(refusal)
                } else {
                    delay(admission.delay)
                }
            }
        }
    }

    private fun identify(key: String?, openRoute: ScopedName?): Result<Caller, Refusal> {
        val route = openRoute?.let { configuration.current.route(it.organisation, it.name) }
        if (key == null && openRoute != null && route?.open == true) {
            val account = ScopedName(openRoute.organisation, "$OPEN_ROUTE_PREFIX${route.name}")
            return Ok(Caller(account, keyDigest = null, configuration.current.generation))
        }
        if (key == null) return Err(Refusal(Reason.MISSING_KEY, "expected a key, actual none"))
        if (!configuration.isProvedCurrent()) {
            val age = configuration.proofAge()
            return Err(Refusal(Reason.CONFIGURATION_TOO_OLD, "the last proof of the configuration is $age old"))
        }
        val digest = digestOfKey(key)
        val account = configuration.current.accountOf(digest)
            ?: return Err(Refusal(Reason.UNKNOWN_KEY, "no account has this key"))
        return Ok(Caller(account, digest, configuration.current.generation))
    }

    private fun exceeded(wait: Admission.Wait) = Refusal(
        reason = Reason.RATE_EXCEEDED,
        detail = "the rate allows the request in ${wait.delay}, after its deadline",
        retryAfter = wait.delay,
    )
}
