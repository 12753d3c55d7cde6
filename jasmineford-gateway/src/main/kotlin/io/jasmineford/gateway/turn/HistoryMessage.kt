package io.jasmineford.gateway.turn

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** Key of a program; program names are unique only within a client account. */
@Serializable
data class ProgramKey(
    val account: String,
    val program: String,
)

/**
 * A completed turn of a program, that is one streamed call and its output; immutable.
 *
 * @property id attempt id of the call that produced it.
 * @property previous id of the turn that it continues; null for the first one.
 * @property input body of the call.
 * @property output data of the streamed events, each followed by a line feed.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
class TurnRecord(
    val id: String,
    val account: String,
    val previous: String?,
    @ByteString val input: ByteArray,
    @ByteString val output: ByteArray,
)

/**
 * Tokens of one attempt to run a turn: the reserved maximum, or the tokens it produced once [isSettled].
 *
 * Daemons compare sums of the hash codes of these entries, so types and order of the properties are part of the
 * protocol.
 *
 * @property reservedAtMillis Unix milliseconds of the reservation, by the clock of the daemon that made it.
 */
@Serializable
data class TokenEntry(
    val program: ProgramKey,
    val attempt: String,
    val tokens: Int,
    val isSettled: Boolean,
    val reservedAtMillis: Long = 0,
)

/**
 * Record of the history log, and of copies between history daemons; has at least one part.
 *
 * @property keptMillis age from which entries are dropped, in the log only; see [HistoryRetention].
 */
@Serializable
data class HistoryEntry(
    val tokens: TokenEntry? = null,
    val turn: TurnRecord? = null,
    @SerialName("standing") val status: HistoryStatus? = null,
    val keptMillis: Long? = null,
)

/** Requests to a history daemon. */
@Serializable
sealed interface HistoryRequest {
    /** Reserves tokens; the reply contains the program's total with this reservation. */
    @Serializable
    @SerialName("reserve")
    data class Reserve(val entry: TokenEntry) : HistoryRequest

    /** Reads the token entries of a program. */
    @Serializable
    @SerialName("tokens")
    data class Tokens(val program: ProgramKey) : HistoryRequest

    /** Replaces a reservation by the tokens used and, on stateful routes, stores the turn. */
    @Serializable
    @SerialName("finish")
    class Finish(val tokens: TokenEntry?, val turn: TurnRecord?) : HistoryRequest

    /** Reads turn [id] and all turns that it continues. */
    @Serializable
    @SerialName("chain")
    data class Chain(val id: String, val account: String) : HistoryRequest

    /**
     * Reads entries from position [from] on and confirms that all earlier ones are on the disk of daemon [reader].
     *
     * @property expired if given, the request reads which of these entries are still needed, and nothing else. Daemons
     * of releases that do not know the field take it for a copy, which [asksForNeeded] keeps without effect there.
     */
    @Serializable
    @SerialName("copy")
    data class Copy(val from: Int, val reader: String, val expired: ExpiredEntries? = null) : HistoryRequest

    companion object {
        /** Position behind all entries, and far enough from the largest number to be added to. */
        private const val BEHIND_ALL_ENTRIES = 1 shl 30

        /** Asks which of [expired] are still needed. */
        fun asksForNeeded(expired: ExpiredEntries) = Copy(BEHIND_ALL_ENTRIES, reader = "", expired)
    }
}

/** Replies of a history daemon. */
@Serializable
sealed interface HistoryReply {
    /** The reservation is on disk; the program's entries sum up to [total] tokens and hash to [digest]. */
    @Serializable
    @SerialName("reserved")
    data class Reserved(val total: Long, val digest: Long) : HistoryReply

    /** The token entries of a program; they count towards a majority if this daemon [isComplete]. */
    @Serializable
    @SerialName("tokens")
    data class Tokens(val entries: List<TokenEntry>, val isComplete: Boolean = true) : HistoryReply

    /** The entries are on disk. */
    @Serializable
    @SerialName("finished")
    data object Finished : HistoryReply

    /** The turns found, oldest first; [missing] is the id of the next older turn, which this daemon does not hold. */
    @Serializable
    @SerialName("turns")
    class Turns(val turns: List<TurnRecord>, val missing: String?) : HistoryReply

    /**
     * Entries from the requested position on.
     *
     * @property next position after the entries.
     * @property isEnd whether no more entries are held now.
     * @property status status of the replying daemon; null if its release does not report one.
     * @property needed those of the request's expired entries that are still needed; null if it names none, or if the
     * replying daemon can't tell.
     */
    @Serializable
    @SerialName("copied")
    class Copied(
        val entries: List<HistoryEntry>,
        val next: Int,
        val isEnd: Boolean,
        val status: HistoryStatus? = null,
        val needed: ExpiredEntries? = null,
    ) : HistoryReply

    /** The request was fenced: it belongs to an epoch older than [epoch]. Nothing was done. */
    @Serializable
    @SerialName("stale")
    data class StaleGroup(val epoch: Long) : HistoryReply

    /** The daemon lost entries and has not copied them back yet; its reply does not count towards a majority. */
    @Serializable
    @SerialName("incomplete")
    data object Incomplete : HistoryReply
}

/**
 * A request with its correlation number, which the reply repeats, and the group known to the sender.
 *
 * @property joinedAt see [GroupStamp.joinedAt].
 */
@Serializable
class RequestFrame(val number: Long, val epoch: Long, val request: HistoryRequest, val joinedAt: Long? = 0) {
    /** The group known to the sender. */
    val stamp: GroupStamp get() = GroupStamp(epoch, joinedAt)
}

/** A reply to the request with the same number. */
@Serializable
class ReplyFrame(val number: Long, val reply: HistoryReply)
