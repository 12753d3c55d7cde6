package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.config.ProgramBudget
import kotlinx.serialization.Serializable

/**
 * Durable state of one program.
 *
 * @property nextTurn number of the next turn; the first is 1.
 * @property calls calls that were settled.
 * @property tokens tokens that were settled.
 */
@Serializable
data class ProgramState(
    val parent: String? = null,
    val budget: ProgramBudget = ProgramBudget(),
    val nextTurn: Int = 1,
    val messages: List<Message> = emptyList(),
    val digest: String = EMPTY_HISTORY_DIGEST,
    val calls: Int = 0,
    val tokens: Long = 0,
    val isClosed: Boolean = false,
    val effects: Map<String, Effect> = emptyMap(),
)

/**
 * A call that may not be repeated, by its idempotency key.
 *
 * @property outcome null while it is not known.
 */
@Serializable
data class Effect(
    val turn: Int,
    val requestDigest: String,
    val outcome: Outcome? = null,
    val status: Int = 0,
    val body: String = "",
)

/** State after [record]. Records of a journal are applied in order; a turn that is applied again changes nothing. */
fun ProgramState.apply(record: JournalRecord): ProgramState = when (record) {
    is JournalRecord.ProgramOpened -> copy(parent = record.parent, budget = record.budget)

    is JournalRecord.TurnCommitted -> if (record.turn != nextTurn) this else copy(
        nextTurn = record.turn + 1,
        messages = messages + record.messages,
        digest = record.digest,
        calls = calls + 1,
        tokens = tokens + record.usage.prompt + record.usage.completion,
    )

    is JournalRecord.IntentRecorded -> copy(
        effects = effects + (record.idempotencyKey to Effect(record.turn, record.requestDigest)),
    )

    is JournalRecord.OutcomeRecorded -> {
        val effect = effects[record.idempotencyKey] ?: Effect(record.turn, requestDigest = "")
        val ended = effect.copy(outcome = record.outcome, status = record.status, body = record.body)
        copy(
            nextTurn = record.turn + 1,
            calls = calls + 1,
            effects = effects + (record.idempotencyKey to ended),
        )
    }

    is JournalRecord.ProgramClosed -> copy(isClosed = true)

    is JournalRecord.Checkpoint -> record.state
}
