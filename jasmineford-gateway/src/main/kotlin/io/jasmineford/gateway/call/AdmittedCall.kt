package io.jasmineford.gateway.call

import io.jasmineford.gateway.config.ClientAccount
import io.jasmineford.gateway.config.Route
import io.jasmineford.gateway.config.Service
import io.jasmineford.gateway.endpoint.EndpointState
import io.jasmineford.gateway.http.CallerRequest
import io.netty.handler.codec.http.HttpHeaders
import kotlin.time.Duration

/**
 * A call that has passed admission control.
 *
 * @property account null on public routes.
 * @property fingerprint identifies the call's content; equal when the caller repeats the call.
 * @property arrivedAtMillis arrival in Unix milliseconds.
 * @property isStarting whether it is the first call of its program.
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
    val isStarting: Boolean = false,
) {
    /** Name of the account, empty on public routes. */
    val accountName: String get() = account?.name.orEmpty()

    /** Key of the call's program, unique over all accounts. */
    val programKey: String get() = programKey(account, attributes.program)

    /** Time at which the caller stops waiting, or the route's time-out if it states none. */
    val callerDeadline: Duration = arrivedAt + (attributes.deadline ?: route.timeout)

    /** Time by which the call must be answered. */
    val expiresAt: Duration = minOf(callerDeadline, arrivedAt + route.timeout)

    /** What the call's place in the wait queue depends on. */
    val scheduling: SchedulingAttributes
        get() = SchedulingAttributes(
            priority = account?.priority ?: route.priority,
            latestStart = arrivedAt + (attributes.programDeadline ?: route.targetLatency),
            expiresAt = expiresAt,
            arrivedAt = arrivedAt,
            account = accountName,
            isStarting = isStarting,
        )

    /** Headers for the endpoint of [state], with [left] until the deadline; a stream resumes after [lastEventId]. */
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

/** Key of [program] of [account], unique over all accounts. */
internal fun programKey(account: ClientAccount?, program: String?): String =
    shortKey("${account?.name.orEmpty()}/$program")
