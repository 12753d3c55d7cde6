package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ProgramBudget
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A journal record: a change of a program's state, or the start or end of a shard's snapshot. */
@Serializable
sealed interface JournalRecord {
    /**
     * Start of a snapshot of [shard]: the checkpoints up to [ShardAdopted] hold the shard's complete state. [epoch] is
     * the ownership epoch of the writer.
     */
    @Serializable
    @SerialName("adopting")
    data class ShardAdopting(val shard: Int, val epoch: Long) : JournalRecord

    /** End of a snapshot of [shard]. Later records of the shard in this journal are changes on top of it. */
    @Serializable
    @SerialName("adopted")
    data class ShardAdopted(val shard: Int, val epoch: Long) : JournalRecord
}

/** A change of one program's state. */
@Serializable
sealed interface ProgramRecord : JournalRecord {
    val program: ProgramId

    /** The program was opened; [parent] is null for the root of a tree. */
    @Serializable
    @SerialName("opened")
    data class ProgramOpened(
        override val program: ProgramId,
        val parent: String? = null,
        val budget: ProgramBudget,
    ) : ProgramRecord

    /**
     * A turn was added to the history.
     *
     * @property digest digest of the whole history after the turn.
     * @property requestDigest digest of the request, used to recognise a repeat of it.
     * @property elapsedMs wall time in milliseconds that the program's tree has used so far.
     */
    @Serializable
    @SerialName("turn")
    data class TurnCommitted(
        override val program: ProgramId,
        val turn: Int,
        val messages: List<Message>,
        val usage: Usage,
        val digest: String,
        val requestDigest: String = "",
        val elapsedMs: Long = 0,
    ) : ProgramRecord

    /** A non-idempotent call is about to be dispatched. */
    @Serializable
    @SerialName("intent")
    data class IntentRecorded(
        override val program: ProgramId,
        val turn: Int,
        val idempotencyKey: String,
        val requestDigest: String,
    ) : ProgramRecord

    /** Outcome of a non-idempotent call. [Outcome.REFUSED_NOT_RUN] cancels the intent. */
    @Serializable
    @SerialName("outcome")
    data class OutcomeRecorded(
        override val program: ProgramId,
        val turn: Int,
        val idempotencyKey: String,
        val outcome: Outcome,
        val reply: EffectReply,
        val elapsedMs: Long = 0,
    ) : ProgramRecord

    /** Budget used by calls that did not become part of the history. */
    @Serializable
    @SerialName("spent")
    data class BudgetSpent(
        override val program: ProgramId,
        val calls: Int,
        val tokens: Long,
        val elapsedMs: Long = 0,
    ) : ProgramRecord

    /** The oldest [HistoryRef.messages] messages of [ProgramState.messages] were moved to the stored object [ref]. */
    @Serializable
    @SerialName("stored")
    data class HistoryStored(
        override val program: ProgramId,
        val ref: HistoryRef,
    ) : ProgramRecord

    /** The program has ended. */
    @Serializable
    @SerialName("closed")
    data class ProgramClosed(override val program: ProgramId) : ProgramRecord

    /** Full state of the program except messages and effects, which follow in [CheckpointPart]s. */
    @Serializable
    @SerialName("checkpoint")
    data class Checkpoint(
        override val program: ProgramId,
        val state: ProgramState,
    ) : ProgramRecord

    /** Messages and effects that continue a [Checkpoint]. */
    @Serializable
    @SerialName("part")
    data class CheckpointPart(
        override val program: ProgramId,
        val messages: List<Message> = emptyList(),
        val effects: Map<String, Effect> = emptyMap(),
    ) : ProgramRecord
}

/**
 * Answer of a non-idempotent call, kept to answer repeats of the same request.
 *
 * @property status HTTP status code.
 * @property reason reason when the answer is not a plain result.
 * @property isBodyKept false when the body was too large to keep.
 */
@Serializable
data class EffectReply(
    val status: Int,
    val contentType: String = "application/json",
    val body: String = "",
    val reason: Reason? = null,
    val isBodyKept: Boolean = true,
)
