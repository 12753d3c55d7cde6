package io.jasmineford.core.program

import io.jasmineford.core.call.Outcome
import io.jasmineford.core.config.ProgramBudget
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One durable change of a program's state. */
@Serializable
sealed interface JournalRecord {
    /** Program that the record belongs to. */
    val program: ProgramId

    /** The program exists; [parent] is null for the root of a tree. */
    @Serializable
    @SerialName("opened")
    data class ProgramOpened(
        override val program: ProgramId,
        val parent: String? = null,
        val budget: ProgramBudget,
    ) : JournalRecord

    /** A turn is part of the history. [digest] is the digest of the whole history after it. */
    @Serializable
    @SerialName("turn")
    data class TurnCommitted(
        override val program: ProgramId,
        val turn: Int,
        val messages: List<Message>,
        val usage: Usage,
        val digest: String,
    ) : JournalRecord

    /** A call that may not be repeated is about to be dispatched. */
    @Serializable
    @SerialName("intent")
    data class IntentRecorded(
        override val program: ProgramId,
        val turn: Int,
        val idempotencyKey: String,
        val requestDigest: String,
    ) : JournalRecord

    /** How a call that may not be repeated ended. */
    @Serializable
    @SerialName("outcome")
    data class OutcomeRecorded(
        override val program: ProgramId,
        val turn: Int,
        val idempotencyKey: String,
        val outcome: Outcome,
        val status: Int,
        val body: String,
    ) : JournalRecord

    /** The program has ended. */
    @Serializable
    @SerialName("closed")
    data class ProgramClosed(override val program: ProgramId) : JournalRecord

    /** The program's whole state, written by a new keeper after replay. */
    @Serializable
    @SerialName("checkpoint")
    data class Checkpoint(
        override val program: ProgramId,
        val state: ProgramState,
    ) : JournalRecord
}
