package io.jasmineford.gateway.load

import kotlin.time.Duration

/** Rank of a call while the daemon is overloaded; the last ones are shed first. */
enum class ShedClass {
    /** The call's program or stream has begun: shedding it would waste what has been done. */
    UNDER_WAY,

    /** The call belongs to no program. */
    SINGLE,

    /** The call would begin a program, or its program makes excessively many calls. */
    STARTING,
}

/** Reason for which a call is shed; metric labels contain the names. */
enum class ShedReason {
    /** The response could not be sent before the caller's deadline. */
    OVERLOAD_TOO_LATE,

    /** A program that starts; programs under way need the capacity. */
    OVERLOAD_STARTING,

    /** A call without a program beyond its account's share. */
    OVERLOAD_SINGLE,

    /** A call of a program under way beyond its account's share. */
    OVERLOAD_UNDER_WAY,
}

/**
 * A call that asks to be taken by an overloaded daemon.
 *
 * @property account name of the client account; empty if it has none.
 * @property deadline how long the caller waits, from the sending of the call; null if it does not say.
 */
data class PressureRequest(
    val account: String,
    val shedClass: ShedClass,
    val deadline: Duration?,
)

/** A call that is shed; [retryAfter] is when there is probably capacity for it. */
data class ShedCall(val reason: ShedReason, val retryAfter: Duration)
