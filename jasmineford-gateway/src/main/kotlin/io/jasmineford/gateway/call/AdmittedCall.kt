package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.ClientAccount
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.http.CallerRequest
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * A call after the door: what it is and what it may cost.
 *
 * @property fingerprint identity of its content, the same for each repetition by the caller.
 * @property arrivedAtMillis Unix milliseconds of its arrival.
 */
data class AdmittedCall(
    val request: CallerRequest,
    val attributes: CallAttributes,
    val route: Route,
    val account: ClientAccount?,
    val service: Service,
    val fingerprint: String,
    val arrivedAt: Duration,
    val arrivedAtMillis: Long,
) {
    /** Name of the account, empty on public routes. */
    val accountName: String get() = account?.name.orEmpty()

    /** Identity of the program among those of all accounts. */
    val programKey: String get() = programKey(account, attributes.program)

    /** Time at which the caller gives up. */
    val callerDeadline: Duration = arrivedAt + (attributes.deadline ?: route.timeout)

    /** Time at which the call gets its last possible answer. */
    val expiresAt: Duration = minOf(callerDeadline, arrivedAt + route.timeout)

    /** Rank and times that decide when the call is placed. */
    val ticket: WaitTicket
        get() = WaitTicket(
            priority = account?.priority ?: route.priority,
            latestStart = arrivedAt + (attributes.programDeadline ?: route.targetLatency),
            expiresAt = expiresAt,
            arrivedAt = arrivedAt,
        )

    /** Headers for the endpoint of [state], which has [left] time, to go on after event [lastEventId]. */
    internal fun headersFor(
        names: CallHeaderNames,
        state: EndpointState,
        left: Duration,
        lastEventId: String?,
    ): HttpHeaders {
        val headers = names.forwarded(request)
        headers[names.deadlineMillis] = left.inWholeMilliseconds.coerceAtLeast(1).toString()
        headers[names.expectedEndpoint] = state.endpoint.id
        account?.let { headers[names.account] = it.name }
        lastEventId?.let { headers[LAST_EVENT_ID] = it }
        return headers
    }

    private companion object {
        /** Standard header of server-sent events. */
        const val LAST_EVENT_ID = "Last-Event-Id"
    }
}

/** Identity of [program] of [account] among the programs of all accounts. */
internal fun programKey(account: ClientAccount?, program: String?): String = "${account?.name.orEmpty()}/$program"
