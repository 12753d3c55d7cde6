package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.ClientAccount
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.RouteKind
import io.jasmineford.gateway.limit.AccountRateLimiter
import io.jasmineford.gateway.limit.AdmissionClass
import io.jasmineford.gateway.limit.BucketState
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.limit.RateLimitDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Reason for refusing a call before it is queued for an endpoint; log lines and metric labels contain the names. */
enum class RefusalReason {
    BAD_HEADERS,
    NO_SERVICE,
    NO_CONFIGURATION,
    NO_ROUTE,
    STALE_KEYS,
    UNKNOWN_KEY,
    OVER_ALLOTMENT,
    CRASHES_ENDPOINTS,
    STOPPING,
    PARTIAL_TURN,
}

/** Result of admission control for one call. */
sealed interface AdmissionDecision {
    /**
     * The call is admitted.
     *
     * @property account null on public routes.
     * @property fingerprint identifies the call's content.
     * @property admissionClass class by which the rate limit admitted it.
     */
    data class Admitted(
        val route: Route,
        val account: ClientAccount?,
        val fingerprint: String,
        val admissionClass: AdmissionClass = AdmissionClass.UNDER_WAY,
    ) : AdmissionDecision

    /**
     * The call is refused and has not run; [account], [admissionClass] and [bucket] are set when the rate limit refused
     * it.
     */
    data class Refused(
        val status: Int,
        val reason: RefusalReason,
        val retryAfter: Duration? = null,
        val account: ClientAccount? = null,
        val admissionClass: AdmissionClass? = null,
        val bucket: BucketState? = null,
    ) : AdmissionDecision
}

/**
 * Attributes of a call that admission control looks at.
 *
 * @property continuesProgram whether the call names the turn or the stream that it continues.
 */
data class AdmissionRequest(
    val host: String?,
    val path: String,
    val key: String?,
    val program: String?,
    val continuesProgram: Boolean = false,
)

/**
 * Admission control: checks route, key, fingerprint and rate limit of arriving calls.
 *
 * @param contactAge age of the newest proof that this daemon's configuration is the stored one.
 * @param maxContactAge age above which calls with a key are refused, as the key may have been withdrawn.
 * @param isBlocked whether calls with a fingerprint are refused because they crash endpoints.
 */
class AdmissionControl(
    private val rateLimiter: AccountRateLimiter,
    private val activity: ProgramActivity,
    private val contactAge: () -> Duration,
    private val maxContactAge: Duration,
    private val isBlocked: (String) -> Boolean,
) {
    /**
     * Admits or refuses [call] under [config].
     *
     * @param fingerprint returns the identity of the call's content, for the detection of calls that crash endpoints.
     */
    fun decide(
        config: GatewayConfig?,
        call: AdmissionRequest,
        fingerprint: (ClientAccount?) -> String,
    ): AdmissionDecision {
        val route = config?.routeOf(call.host.orEmpty(), call.path)
        val needsKey = config != null && route != null && config.needsKeys && !route.isPublic
        return when {
            config == null -> AdmissionDecision.Refused(UNAVAILABLE, RefusalReason.NO_CONFIGURATION, START_RETRY_AFTER)
            route == null -> AdmissionDecision.Refused(NOT_FOUND, RefusalReason.NO_ROUTE)
            needsKey && contactAge() > maxContactAge -> AdmissionDecision.Refused(
                UNAVAILABLE,
                RefusalReason.STALE_KEYS,
                CONTACT_RETRY_AFTER
            )
            needsKey -> decideByKey(route, config.accountOf(call.key), call, fingerprint)
            else -> checkLimits(route, null, call, fingerprint)
        }
    }

    private fun decideByKey(
        route: Route,
        account: ClientAccount?,
        call: AdmissionRequest,
        fingerprint: (ClientAccount?) -> String,
    ): AdmissionDecision = if (account == null) {
        AdmissionDecision.Refused(UNAUTHORIZED, RefusalReason.UNKNOWN_KEY)
    } else {
        checkLimits(route, account, call, fingerprint)
    }

    private fun checkLimits(
        route: Route,
        account: ClientAccount?,
        call: AdmissionRequest,
        fingerprint: (ClientAccount?) -> String,
    ): AdmissionDecision {
        val content = fingerprint(account)
        if (isBlocked(content)) return AdmissionDecision.Refused(BAD_GATEWAY, RefusalReason.CRASHES_ENDPOINTS)
        val counted = call.program?.let { activity.recordCall(programKey(account, it)) } ?: AdmissionClass.UNDER_WAY
        // A daemon that has just started knows no programs, but each one begins with a turn that continues none.
        val isUnderWay = call.continuesProgram || route.kind != RouteKind.STREAM
        val admissionClass =
            if (counted == AdmissionClass.NEW && isUnderWay) AdmissionClass.UNDER_WAY else counted
        val decision = account?.let { rateLimiter.admit(it, admissionClass) } ?: RateLimitDecision.Admitted
        return when (decision) {
            is RateLimitDecision.Admitted -> AdmissionDecision.Admitted(route, account, content, admissionClass)
            is RateLimitDecision.Exceeded ->
                AdmissionDecision.Refused(
                    status = TOO_MANY_REQUESTS,
                    reason = RefusalReason.OVER_ALLOTMENT,
                    retryAfter = decision.retryAfter,
                    account = account,
                    admissionClass = admissionClass,
                    bucket = decision.state,
                )
        }
    }

    private companion object {
        /** A daemon that has just started receives its configuration within this time. */
        val START_RETRY_AFTER = 200.milliseconds

        /** Within this time the caller reaches a daemon with store contact, or this one has contact again. */
        val CONTACT_RETRY_AFTER = 500.milliseconds
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
    }
}
