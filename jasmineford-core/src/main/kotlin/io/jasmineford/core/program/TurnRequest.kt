package io.jasmineford.core.program

import io.jasmineford.core.call.Refusal
import io.jasmineford.core.config.ProgramBudget

/**
 * A caller's request for the next turn of a program.
 *
 * @property turn number that the caller gives; null means the next one.
 * @property idempotencyKey present for calls that may not be repeated.
 * @property requestDigest digest of method, path and body, to recognise another request under the same key.
 * @property historyDigest digest that the caller has of the history so far; null when it doesn't say.
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
    val reservedTokens: Long = 0,
    val budget: ProgramBudget = ProgramBudget(),
)

/** Answer of the program book to a [TurnRequest]. */
sealed interface TurnDecision {
    /**
     * The turn may run. [records] must be durable first when [mustBeDurable] is true.
     *
     * @property messages history before the turn.
     */
    data class Run(
        val ticket: TurnTicket,
        val records: List<JournalRecord>,
        val mustBeDurable: Boolean,
        val messages: List<Message>,
    ) : TurnDecision

    /** The call ran before under the same idempotency key; this is how it ended. */
    data class Replay(val effect: Effect) : TurnDecision

    /** The turn does not run; nothing changed. */
    data class Refuse(val refusal: Refusal) : TurnDecision
}

/** Right to end one turn that was begun. */
data class TurnTicket(
    val program: ProgramId,
    val turn: Int,
    val reservedTokens: Long,
    val idempotencyKey: String? = null,
)
