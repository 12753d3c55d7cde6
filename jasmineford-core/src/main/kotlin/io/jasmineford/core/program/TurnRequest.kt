package io.jasmineford.core.program

import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ProgramBudget

/**
 * A caller's request for the next turn of a program.
 *
 * @property turn number that the caller gives; null means the next one.
 * @property idempotencyKey present for calls that may not be repeated.
 * @property requestDigest digest of method, path and body, to recognise the same request when it is sent again.
 * @property historyDigest digest that the caller has of the history so far; null when it doesn't say.
 * @property newMessages messages that the request adds to the history.
 * @property reservedTokens upper bound of the tokens of this call.
 * @property budget budget of the tree if this request opens it.
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

/** Answer of the program book to a [TurnRequest]. */
sealed interface TurnDecision {
    /**
     * The turn may run.
     *
     * @property opened record of a program that this turn opens. It needs no wait of its own: every later record of the
     *   program follows it in the same journal.
     * @property state state before the turn, with the history.
     */
    data class Run(
        val ticket: TurnTicket,
        val opened: ProgramRecord.ProgramOpened?,
        val state: ProgramState,
    ) : TurnDecision

    /** The call ran before under the same idempotency key; this is how it ended. */
    data class Replay(val effect: Effect) : TurnDecision

    /** The turn ran before with the same request. Its answer may be given again once all records are durable. */
    data class ReplayTurn(val last: LastTurn, val answer: Message, val digest: String) : TurnDecision

    /** The turn does not run; nothing changed. */
    data class Refuse(val refusal: Refusal) : TurnDecision
}

/**
 * Right to end one turn that was begun.
 *
 * @property id unique in the book, so that a ticket of an earlier ownership is never taken for a later one's.
 */
data class TurnTicket(
    val id: Long,
    val program: ProgramId,
    val turn: Int,
    val reservedTokens: Long,
    val requestDigest: String,
    val idempotencyKey: String? = null,
)
