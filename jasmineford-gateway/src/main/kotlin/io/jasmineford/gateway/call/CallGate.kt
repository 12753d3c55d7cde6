package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.ClientAccount
import io.jasmineford.gateway.config.GatewayConfig
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.limit.AccountMeter
import io.jasmineford.gateway.limit.Allotment
import io.jasmineford.gateway.limit.ProgramActivity
import io.jasmineford.gateway.limit.ProgramStanding
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Why a call is refused before it waits for an endpoint. */
enum class GateReason {
    BAD_HEADERS,
    NO_SERVICE,
    NO_CONFIGURATION,
    NO_ROUTE,
    STALE_KEYS,
    UNKNOWN_KEY,
    OVER_ALLOTMENT,
    CRASHES_ENDPOINTS,
}

/** What becomes of a call at the door. */
sealed interface GateVerdict {
    /**
     * The call may go on.
     *
     * @property account null on public routes.
     * @property fingerprint identity of the call's content.
     */
    data class Admitted(val route: Route, val account: ClientAccount?, val fingerprint: String) : GateVerdict

    /** The call is refused and has not run. */
    data class Refused(
        val status: Int,
        val reason: GateReason,
        val retryAfter: Duration? = null,
        val account: ClientAccount? = null,
        val standing: ProgramStanding? = null,
    ) : GateVerdict
}

/** What the gate looks at in a call. */
data class GateCall(
    val host: String?,
    val path: String,
    val key: String?,
    val program: String?,
)

/** Decides at the door, from the configuration in force, its age and the allotments. */
class CallGate(
    private val meter: AccountMeter,
    private val activity: ProgramActivity,
    private val contactAge: () -> Duration,
    private val maxContactAge: Duration,
    private val isSuspect: (String) -> Boolean,
) {
    /**
     * Judges [call] under [config].
     *
     * @param fingerprint identity of the call's content for the detection of calls that crash endpoints.
     */
    fun judge(config: GatewayConfig?, call: GateCall, fingerprint: (ClientAccount?) -> String): GateVerdict {
        val route = config?.routeOf(call.host.orEmpty(), call.path)
        val needsKey = config != null && route != null && config.needsKeys && !route.isPublic
        return when {
            config == null -> GateVerdict.Refused(UNAVAILABLE, GateReason.NO_CONFIGURATION, START_RETRY_AFTER)
            route == null -> GateVerdict.Refused(NOT_FOUND, GateReason.NO_ROUTE)
            needsKey && contactAge() > maxContactAge -> GateVerdict.Refused(
                UNAVAILABLE,
                GateReason.STALE_KEYS,
                CONTACT_RETRY_AFTER
            )
            needsKey -> judgeKey(route, config.accountOf(call.key), call, fingerprint)
            else -> admit(route, null, call, fingerprint)
        }
    }

    private fun judgeKey(
        route: Route,
        account: ClientAccount?,
        call: GateCall,
        fingerprint: (ClientAccount?) -> String,
    ): GateVerdict = if (account == null) {
        GateVerdict.Refused(UNAUTHORIZED, GateReason.UNKNOWN_KEY)
    } else {
        admit(route, account, call, fingerprint)
    }

    private fun admit(
        route: Route,
        account: ClientAccount?,
        call: GateCall,
        fingerprint: (ClientAccount?) -> String,
    ): GateVerdict {
        val content = fingerprint(account)
        if (isSuspect(content)) return GateVerdict.Refused(BAD_GATEWAY, GateReason.CRASHES_ENDPOINTS)
        val standing = call.program?.let { activity.note(programKey(account, it)) } ?: ProgramStanding.UNDER_WAY
        return when (val allotment = account?.let { meter.admit(it, standing) } ?: Allotment.Admitted) {
            is Allotment.Admitted -> GateVerdict.Admitted(route, account, content)
            is Allotment.Exceeded ->
                GateVerdict.Refused(
                    status = TOO_MANY_REQUESTS,
                    reason = GateReason.OVER_ALLOTMENT,
                    retryAfter = allotment.retryAfter,
                    account = account,
                    standing = standing,
                )
        }
    }

    private companion object {
        /** A daemon that has just started has its configuration by then. */
        val START_RETRY_AFTER = 200.milliseconds

        /** Another daemon has contact, or this one again. */
        val CONTACT_RETRY_AFTER = 500.milliseconds
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
        const val TOO_MANY_REQUESTS = 429
        const val BAD_GATEWAY = 502
        const val UNAVAILABLE = 503
    }
}
