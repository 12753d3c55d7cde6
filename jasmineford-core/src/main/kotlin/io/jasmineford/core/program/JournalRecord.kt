package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.call.Reason
import io.jasmineford.core.config.ProgramBudget
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One durable change of a program's state, or a mark of a shard's section. */
@Serializable
sealed interface JournalRecord {
    /**
     * A section of [shard] begins: the checkpoints up to [ShardAdopted] hold the shard's whole state. [epoch] is the
     * epoch of the shard's owner.
     */
    @Serializable
    @SerialName("adopting")
    data class ShardAdopting(val shard: Int, val epoch: Long) : JournalRecord

    /** The checkpoints of the section are complete. Later records of the shard in this journal continue it. */
    @Serializable
    @SerialName("adopted")
    data class ShardAdopted(val shard: Int, val epoch: Long) : JournalRecord
}

/** One durable change of a program's state. */
@Serializable
sealed interface ProgramRecord : JournalRecord {
    /** Program that the record belongs to. */
    val program: ProgramId

    /** The program exists; [parent] is null for the root of a tree. */
    @Serializable
    @SerialName("opened")
    data class ProgramOpened(
        override val program: ProgramId,
        val parent: String? = null,
        val budget: ProgramBudget,
    ) : ProgramRecord

    /**
     * A turn is part of the history.
     *
     * @property digest digest of the whole history after the turn.
     * @property requestDigest recognises the same request when it is sent again.
     * @property elapsedMs wall time that the program's tree has used so far.
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

    /** A call that may not be repeated is about to be dispatched. */
    @Serializable
    @SerialName("intent")
    data class IntentRecorded(
        override val program: ProgramId,
        val turn: Int,
        val idempotencyKey: String,
        val requestDigest: String,
    ) : ProgramRecord

    /** How a call that may not be repeated ended. [Outcome.REFUSED_NOT_RUN] withdraws the intent. */
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

    /** Budget that a call used without becoming part of the history. */
    @Serializable
    @SerialName("spent")
    data class BudgetSpent(
        override val program: ProgramId,
        val calls: Int,
        val tokens: Long,
        val elapsedMs: Long = 0,
    ) : ProgramRecord

    /** The first messages of the tail, [HistoryRef.messages] in number, are stored in the object [ref]. */
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

    /** The program's state without its messages and effects, which follow in [CheckpointPart]s. */
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
 * Answer of a call that may not be repeated, kept so that the same answer can be given again.
 *
 * @property reason why there is no plain result.
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
