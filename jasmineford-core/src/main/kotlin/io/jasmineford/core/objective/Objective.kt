package io.jasmineford.core.objective

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import kotlinx.serialization.Serializable

/** Condition that calls must meet for an objective. */
@Serializable
enum class Promise {
    /** The call is answered with a result. */
    ANSWERED,

    /** The call is not refused, unless for a reason for which its caller is responsible. */
    ADMITTED,
}

/**
 * A service-level objective (SLO), which applies to each account, route and zone.
 *
 * @property target required fraction of the counted calls that meet [promise]; below 1.
 */
@Serializable
data class Objective(
    val promise: Promise,
    val target: Double = DEFAULT_TARGET,
)

/** Objectives that apply when the settings have none. */
val defaultObjectives: List<Objective> = Promise.entries.map { Objective(it) }

/**
 * Reasons for which the caller is responsible, for example a call above its account's rate or a request that crashes
 * endpoints. Such calls count for no objective, because refusing them is correct behaviour of the service.
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

/** Whether calls with these labels consume the error budget of [promise]. */
fun CallLabels.violates(promise: Promise): Boolean = isCounted && when (promise) {
    Promise.ANSWERED -> outcome != Outcome.RESULT
    Promise.ADMITTED -> outcome == Outcome.REFUSED_NOT_RUN
}

private const val DEFAULT_TARGET = 0.999
