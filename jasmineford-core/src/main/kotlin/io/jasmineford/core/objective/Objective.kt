package io.jasmineford.core.objective

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import kotlinx.serialization.Serializable

/** What an objective promises about the calls that count for it. */
@Serializable
enum class Promise {
    /** The call is answered with a result. */
    ANSWERED,

    /** The call is not refused although its account is within its rate. */
    ADMITTED,
}

/**
 * A service-level objective. It holds for each account, route and zone.
 *
 * @property target share of the counted calls that keep the promise, below 1.
 */
@Serializable
data class Objective(
    val promise: Promise,
    val target: Double = DEFAULT_TARGET,
)

/** Objectives when the settings state none. */
val defaultObjectives: List<Objective> = Promise.entries.map { Objective(it) }

/**
 * Reasons that are the caller's own doing. Such calls count for no objective, since the service kept its promise by
 * refusing them. A call over its account's rate is one of them; so is a request that crashes endpoints.
 */
val callerReasons: Set<Reason> = setOf(
    Reason.BAD_REQUEST,
    Reason.MISSING_KEY,
    Reason.UNKNOWN_KEY,
    Reason.KEY_WITHDRAWN,
    Reason.ROUTE_NOT_ALLOWED,
    Reason.OTHER_ACCOUNT,
    Reason.UNKNOWN_ROUTE,
    Reason.UNKNOWN_PROGRAM,
    Reason.WRONG_TURN,
    Reason.PROGRAM_BUSY,
    Reason.PROGRAM_CLOSED,
    Reason.HISTORY_MISMATCH,
    Reason.HISTORY_TOO_LARGE,
    Reason.IDEMPOTENCY_KEY_MISSING,
    Reason.IDEMPOTENCY_KEY_REUSED,
    Reason.BUDGET_CALLS,
    Reason.BUDGET_TOKENS,
    Reason.BUDGET_TIME,
    Reason.RATE_EXCEEDED,
    Reason.QUARANTINED,
)

/** Whether calls with these labels count for objectives. */
val CallLabels.isCounted: Boolean get() = reason !in callerReasons

/** Whether calls with these labels burn the budget of [promise]. */
fun CallLabels.breaks(promise: Promise): Boolean = isCounted && when (promise) {
    Promise.ANSWERED -> outcome != Outcome.RESULT
    Promise.ADMITTED -> outcome == Outcome.REFUSED_NOT_RUN
}

private const val DEFAULT_TARGET = 0.999
