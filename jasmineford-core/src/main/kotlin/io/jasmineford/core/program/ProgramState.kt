package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.config.ProgramBudget
import kotlinx.serialization.Serializable

/**
 * Durable state of one program.
 *
 * @property nextTurn number of the next turn; the first is 1.
 * @property stored objects that hold the older part of the history, oldest first.
 * @property messages the newer part of the history, which follows [stored].
 * @property chars characters of the whole history.
 * @property digest digest of the whole history, see [historyDigest].
 * @property calls number of settled calls.
 * @property tokens number of settled tokens.
 * @property elapsedMs wall time in milliseconds that the program's tree had used at the last record.
 * @property effects non-idempotent calls by idempotency key.
 * @property last the newest turn, used to answer a repeated request.
 */
@Serializable
data class ProgramState(
    val parent: String? = null,
    val budget: ProgramBudget = ProgramBudget(),
    val nextTurn: Int = 1,
    val stored: List<HistoryRef> = emptyList(),
    val messages: List<Message> = emptyList(),
    val chars: Long = 0,
    val digest: String = EMPTY_HISTORY_DIGEST,
    val calls: Int = 0,
    val tokens: Long = 0,
    val elapsedMs: Long = 0,
    val isClosed: Boolean = false,
    val effects: Map<String, Effect> = emptyMap(),
    val last: LastTurn? = null,
)

/** Reference to a stored object that holds [messages] messages of one program. */
@Serializable
data class HistoryRef(
    val key: String,
    val messages: Int,
)

/** The newest turn of a program. Its answer is the last message of the history. */
@Serializable
data class LastTurn(
    val turn: Int,
    val requestDigest: String,
    val usage: Usage,
)

/**
 * State of a non-idempotent call.
 *
 * @property outcome null while the outcome is unknown.
 */
@Serializable
data class Effect(
    val turn: Int,
    val requestDigest: String,
    val outcome: Outcome? = null,
    val reply: EffectReply? = null,
)

/** State after [record]. Records must be applied in journal order; applying the same turn again changes nothing. */
fun ProgramState.apply(record: ProgramRecord): ProgramState = when (record) {
    is ProgramRecord.ProgramOpened -> copy(parent = record.parent, budget = record.budget)
    is ProgramRecord.TurnCommitted -> if (record.turn == nextTurn) afterTurn(record) else this
    is ProgramRecord.IntentRecorded -> afterIntent(record)
    is ProgramRecord.OutcomeRecorded -> afterOutcome(record)
    is ProgramRecord.BudgetSpent -> copy(
        calls = calls + record.calls,
        tokens = tokens + record.tokens,
        elapsedMs = maxOf(elapsedMs, record.elapsedMs),
    )

    is ProgramRecord.HistoryStored -> copy(stored = stored + record.ref, messages = messages.drop(record.ref.messages))
    is ProgramRecord.ProgramClosed -> copy(isClosed = true)
    is ProgramRecord.Checkpoint -> record.state
    is ProgramRecord.CheckpointPart -> copy(messages = messages + record.messages, effects = effects + record.effects)
}

private fun ProgramState.afterTurn(record: ProgramRecord.TurnCommitted) = copy(
    nextTurn = record.turn + 1,
    messages = messages + record.messages,
    chars = chars + record.messages.sumOf { it.content.length.toLong() },
    digest = record.digest,
    calls = calls + 1,
    tokens = tokens + record.usage.prompt + record.usage.completion,
    elapsedMs = maxOf(elapsedMs, record.elapsedMs),
    last = LastTurn(record.turn, record.requestDigest, record.usage),
)

/**
 * An intent already uses up its turn number. If the owner is lost after the caller got the answer but before the
 * outcome was durable, the next turn is still the number that the caller expects.
 */
private fun ProgramState.afterIntent(record: ProgramRecord.IntentRecorded) = copy(
    nextTurn = maxOf(nextTurn, record.turn + 1),
    effects = effects + (record.idempotencyKey to Effect(record.turn, record.requestDigest)),
)

private fun ProgramState.afterOutcome(record: ProgramRecord.OutcomeRecorded): ProgramState {
    if (record.outcome == Outcome.REFUSED_NOT_RUN) {
        val isLatest = record.idempotencyKey in effects && nextTurn == record.turn + 1
        return copy(nextTurn = if (isLatest) record.turn else nextTurn, effects = effects - record.idempotencyKey)
    }
    val effect = effects[record.idempotencyKey] ?: Effect(record.turn, requestDigest = "")
    val ended = effect.copy(outcome = record.outcome, reply = record.reply)
    return copy(
        nextTurn = maxOf(nextTurn, record.turn + 1),
        calls = calls + 1,
        elapsedMs = maxOf(elapsedMs, record.elapsedMs),
        effects = effects + (record.idempotencyKey to ended),
    )
}

/** Records that restore this state when applied in order, each of at most about [partBytes]. */
fun ProgramState.toCheckpoint(program: ProgramId, partBytes: Int = CHECKPOINT_PART_BYTES): List<ProgramRecord> {
    val base = ProgramRecord.Checkpoint(program, copy(messages = emptyList(), effects = emptyMap()))
    val messageParts = chunked(messages, partBytes) { utf8Bytes(it.content) }
        .map { ProgramRecord.CheckpointPart(program, messages = it) }
    val effectParts = chunked(effects.entries.toList(), partBytes) { utf8Bytes(it.value.reply?.body.orEmpty()) }
        .map { part -> ProgramRecord.CheckpointPart(program, effects = part.associate { it.key to it.value }) }
    return listOf(base) + messageParts + effectParts
}

private fun <T> chunked(items: List<T>, limit: Int, bytesOf: (T) -> Int): List<List<T>> {
    val parts = mutableListOf<MutableList<T>>()
    var bytes = 0
    for (item in items) {
        val size = bytesOf(item) + ENTRY_OVERHEAD_BYTES
        if (parts.isEmpty() || bytes + size > limit) {
            parts += mutableListOf<T>()
            bytes = 0
        }
        parts.last() += item
        bytes += size
    }
    return parts
}

private const val CHECKPOINT_PART_BYTES = 300_000

/** Upper bound of the property names and punctuation of one entry in JSON. */
private const val ENTRY_OVERHEAD_BYTES = 400
