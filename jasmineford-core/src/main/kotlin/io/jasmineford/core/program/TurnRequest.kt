package io.jasmineford.core.program

import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ProgramBudget

/**
 * A caller's request for the next turn of a program.
 *
 * @property turn turn number given by the caller; null means the next one.
 * @property isIdempotent whether the call may be repeated safely.
 * @property idempotencyKey required for non-idempotent calls.
 * @property requestDigest digest of method, path and body, used to recognise a repeat of the same request.
 * @property historyDigest digest of the history so far as the caller knows it; null when not given.
 * @property newMessages messages that the request adds to the history.
 * @property reservedTokens upper bound of the tokens of this call.
 * @property budget budget of the program tree if this request opens it.
 */
data class TurnRequest(
    val program: ProgramId,
    val turn: Int? = null,
    val isIdempotent: Boolean = true,
    val idempotencyKey: String? = null,
    val requestDigest: String = "",
    val historyDigest: String? = null,
    val newMessages: List<Message> = emptyList(),
    val reservedTokens: Long = 0,
    val budget: ProgramBudget = ProgramBudget(),
)

/** Decision on a [TurnRequest]. */
sealed interface TurnDecision {
    /**
     * The turn may run.
     *
     * @property opened record of the program if this turn opens it. The caller need not wait until it is durable, since
     *   all later records of the program follow it in the same journal.
     * @property state state before the turn, including the history.
     */
    data class Run(
        val ticket: TurnTicket,
        val opened: ProgramRecord.ProgramOpened?,
        val state: ProgramState,
    ) : TurnDecision

    /** The non-idempotent call already ran under the same idempotency key, with the result [effect]. */
    data class Replay(val effect: Effect) : TurnDecision

    /** The turn already ran with the same request. Its answer may be repeated once all journal records are durable. */
    data class ReplayTurn(val last: LastTurn, val answer: Message, val digest: String) : TurnDecision

    /** The turn must not run; nothing was changed. */
    data class Refuse(val refusal: Refusal) : TurnDecision
}

/**
 * Identifies a turn in flight; required to end it.
 *
 * @property id unique on this VM, so that a ticket from before a takeover never matches a later turn.
 */
data class TurnTicket(
    val id: Long,
    val program: ProgramId,
    val turn: Int,
    val reservedTokens: Long,
    val requestDigest: String,
    val idempotencyKey: String? = null,
)
